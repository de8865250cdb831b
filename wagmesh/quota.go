package wagmesh

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagquota"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

// quotaCoordinatorTTL is how long a selected coordinator is kept. Links are checked at the
// same interval.
const quotaCoordinatorTTL = tickInterval

// quotaCoordinator is the selected coordinator of a shard.
type quotaCoordinator struct {
	member wagroster.Member
	until  time.Time
}

var _ wagowner.QuotaLinks = (*Mesh)(nil)

// identity returns a name of a host that differs between two starts.
func identity(m wagroster.Member) string {
	return m.Name + "/" + strconv.FormatUint(m.Generation, 10)
}

// coordinator returns the coordinator of a shard; m.mu is held.
func (m *Mesh) coordinator(shard int) wagroster.Member {
	now := m.clock.Now()
	c, ok := m.quotaCoordinators[shard]
	if !ok || !now.Before(c.until) {
		former := c.member.Name
		c = quotaCoordinator{member: m.roster.Coordinator(shard), until: now.Add(quotaCoordinatorTTL)}
		m.quotaCoordinators[shard] = c
		if c.member.Name != former {
			m.log.WithFields(logrus.Fields{"shard": shard, "coordinator": c.member.Name, "former": former}).Info("the quota coordinator has changed")
		}
	}
	return c.member
}

// QuotaCoordinator returns the identity of the coordinator of a shard, and whether it is
// this host.
func (m *Mesh) QuotaCoordinator(shard int) (id string, isSelf bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.coordinator(shard)
	return identity(c), c.Name == m.self.Name
}

// QuotaRole returns whether this host is the owner of the group of a service, the number of
// known hosts of its data centre, and its identity.
func (m *Mesh) QuotaRole(service string) (isOwner bool, hosts int, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner, ok := m.roster.Owner(service, m.self.DataCentre)
	return ok && owner.Name == m.self.Name, m.roster.CountHosts(), identity(m.self)
}

// SendQuotaReport sends a report of a part to the coordinator of a shard. It is lost when
// there is no link, which is opened then.
func (m *Mesh) SendQuotaReport(shard int, service string, r wagquota.Report) {
	m.mu.Lock()
	now := m.clock.Now()
	c := m.coordinator(shard)
	l := m.linkTo(c.Name)
	if l == nil {
		m.ensureLink(now, c)
	}
	m.mu.Unlock()
	if l == nil {
		return
	}
	message := chargeMessage(shard, service, m.self.DataCentre, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastPlaced = now // keeps the link open
	l.enqueueLocked(func(f *Frame) { f.QuotaCharges = append(f.QuotaCharges, message) })
}

// handleQuotas handles the reports of the peer and its replies to reports.
func (l *link) handleQuotas(f *Frame) {
	for _, message := range f.GetQuotaCharges() {
		reply, ok := l.mesh.owner.HandleQuotaReport(int(message.GetShard()), reportFromMessage(message, identity(l.peer)))
		if ok {
			ack := ackMessage(message, reply)
			l.enqueue(func(f *Frame) { f.QuotaAcks = append(f.QuotaAcks, ack) })
		}
	}
	for _, message := range f.GetQuotaAcks() {
		l.mesh.owner.HandleQuotaReply(int(message.GetShard()), message.GetService(), identity(l.peer), replyFromMessage(message))
	}
}

func chargeMessage(shard int, service, dataCentre string, r wagquota.Report) *QuotaCharge {
	m := &QuotaCharge{Shard: uint32(shard), Service: service, DataCentre: dataCentre, Number: r.Number, Owner: r.IsOwner, Echo: r.Echo}
	for _, c := range r.Charges {
		m.Customers = append(m.Customers, &CustomerCharge{
			Customer: c.Customer, Total: c.Total, Acknowledged: c.Acknowledged, Demand: uint32(c.Demand), Left: uint32(c.Left), Waiting: uint32(c.Waiting),
		})
	}
	return m
}

// reportFromMessage converts a message to the report of a sender.
func reportFromMessage(m *QuotaCharge, sender string) wagquota.Report {
	r := wagquota.Report{Part: m.GetService() + "/" + m.GetDataCentre(), Sender: sender, Number: m.GetNumber(), IsOwner: m.GetOwner(), Echo: m.GetEcho()}
	for _, c := range m.GetCustomers() {
		r.Charges = append(r.Charges, wagquota.Charge{
			Customer: c.GetCustomer(), Total: c.GetTotal(), Acknowledged: c.GetAcknowledged(), Demand: int(c.GetDemand()), Left: int(c.GetLeft()), Waiting: int(c.GetWaiting()),
		})
	}
	return r
}

func ackMessage(to *QuotaCharge, r wagquota.Reply) *QuotaAck {
	m := &QuotaAck{Shard: to.GetShard(), Service: to.GetService(), Number: r.Number, Stamp: r.Stamp}
	for _, a := range r.Acks {
		// Rounded up, so that the customer has credit when it is asked for again.
		outFor := uint32((a.OutFor + time.Millisecond - 1) / time.Millisecond)
		m.Customers = append(m.Customers, &CustomerAck{Customer: a.Customer, Total: a.Total, Credit: uint32(a.Credit), OutFor: outFor})
	}
	return m
}

func replyFromMessage(m *QuotaAck) wagquota.Reply {
	r := wagquota.Reply{Number: m.GetNumber(), Stamp: m.GetStamp()}
	for _, a := range m.GetCustomers() {
		r.Acks = append(r.Acks, wagquota.Ack{Customer: a.GetCustomer(), Total: a.GetTotal(), Credit: int(a.GetCredit()), OutFor: milliseconds(int64(a.GetOutFor()))})
	}
	return r
}
