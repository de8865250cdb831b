package wagpeer

import (
	"math"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// The functions whose names end in From take validated messages.

// unixMillis returns a Unix time in milliseconds, or 0 for the zero time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFrom(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}

// addressFrom parses an address. It returns the zero value for text that Validate
// rejects.
func addressFrom(text string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(text)
	return a
}

func memberMessage(e wagmember.Entry) *MemberMessage {
	m := e.Member
	return &MemberMessage{
		Name: m.Name, DataCentre: m.DataCentre, Region: m.Region, Incarnation: m.Incarnation,
		Refutation: e.Refutation, State: uint32(m.State), Forward: m.Forward.String(), Peer: m.Peer.String(),
	}
}

func memberFrom(m *MemberMessage) wagmember.Entry {
	return wagmember.Entry{Refutation: m.GetRefutation(), Member: wagmember.Member{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Region: m.GetRegion(), Incarnation: m.GetIncarnation(),
		State: wagmember.State(m.GetState()), Forward: addressFrom(m.GetForward()), Peer: addressFrom(m.GetPeer()),
	}}
}

func observationMessages(list []wagserver.Observation) []*ObservationMessage {
	messages := make([]*ObservationMessage, 0, len(list))
	for _, o := range list {
		messages = append(messages, &ObservationMessage{
			Service: o.Service, Address: o.Address.String(), Sign: string(o.Kind), First: unixMillis(o.FirstSeen), Observer: o.Observer,
		})
	}
	return messages
}

func observationsFrom(list []*ObservationMessage) (observations []wagserver.Observation) {
	for _, m := range list {
		observations = append(observations, wagserver.Observation{
			Service: m.GetService(), Address: addressFrom(m.GetAddress()), Kind: wagserver.ObservationKind(m.GetSign()),
			FirstSeen: timeFrom(m.GetFirst()), Observer: m.GetObserver(),
		})
	}
	return observations
}

func (l GroupLoad) message() *LoadMessage {
	s := l.Summary
	return &LoadMessage{
		Service: l.Service, DataCentre: l.DataCentre, WaitMicros: clampMicros(s.ExpectedWait), ServiceMicros: clampMicros(s.ServiceTime),
		Slots: uint32(s.Slots), FreeHundredths: uint32(max(s.FreeSlots, 0) * 100), Servers: uint32(s.HealthyServers), At: unixMillis(l.At),
	}
}

// clampMicros returns a duration in microseconds, limited to the range of uint32.
func clampMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}

func loadFrom(m *LoadMessage) GroupLoad {
	return GroupLoad{Service: m.GetService(), DataCentre: m.GetDataCentre(), At: timeFrom(m.GetAt()), Summary: wagrouting.Summary{
		ExpectedWait: time.Duration(m.GetWaitMicros()) * time.Microsecond, ServiceTime: time.Duration(m.GetServiceMicros()) * time.Microsecond,
		Slots: int(m.GetSlots()), FreeSlots: float64(m.GetFreeHundredths()) / 100, HealthyServers: int(m.GetServers()),
	}}
}

func (h Heartbeat) message() *HeartbeatMessage {
	m := &HeartbeatMessage{
		From: memberMessage(h.From), Sent: unixMillis(h.SentAt), Next: unixMillis(h.NextAt), Reached: h.ReachableDataCentres,
		Digest: h.Digest, Confirmed: unixMillis(h.Confirmed),
	}
	for _, l := range h.Loads {
		m.Loads = append(m.Loads, l.message())
	}
	for _, e := range h.Entries {
		m.Members = append(m.Members, memberMessage(e))
	}
	return m
}

func heartbeatFrom(m *HeartbeatMessage) Heartbeat {
	h := Heartbeat{Digest: m.GetDigest(), Confirmed: timeFrom(m.GetConfirmed())}
	h.From, h.SentAt, h.NextAt, h.ReachableDataCentres = memberFrom(m.GetFrom()), timeFrom(m.GetSent()), timeFrom(m.GetNext()), m.GetReached()
	for _, l := range m.GetLoads() {
		h.Loads = append(h.Loads, loadFrom(l))
	}
	for _, e := range m.GetMembers() {
		h.Entries = append(h.Entries, memberFrom(e))
	}
	return h
}

func (i Index) message() *IndexedMessage {
	m := &IndexedMessage{Confirmed: unixMillis(i.Confirmed), Digest: i.Digest}
	for _, e := range i.Entries {
		m.Entries = append(m.Entries, &EntryMessage{Service: e.Service, Revision: e.Revision, Digest: e.Digest})
	}
	return m
}

func indexFrom(m *IndexedMessage) Index {
	i := Index{Confirmed: timeFrom(m.GetConfirmed()), Digest: m.GetDigest()}
	for _, e := range m.GetEntries() {
		i.Entries = append(i.Entries, wagrollout.Entry{Service: e.GetService(), Revision: e.GetRevision(), Digest: e.GetDigest()})
	}
	return i
}

func documentsMessage(documents []Document) *DocumentsMessage {
	m := &DocumentsMessage{}
	for _, d := range documents {
		m.Documents = append(m.Documents, &DocumentMessage{Service: d.Service, Text: d.Text})
	}
	return m
}

func documentsFrom(m *DocumentsMessage) (documents []Document) {
	for _, d := range m.GetDocuments() {
		documents = append(documents, Document{Service: d.GetService(), Text: d.GetText()})
	}
	return documents
}

func eventMessage(e wagevent.Event) *EventMessage {
	return &EventMessage{
		Time: e.Time.UnixNano(), Sequence: e.Sequence, Host: e.Host, Kind: string(e.Kind), Service: e.Service,
		Server: e.Server, Caller: e.Caller, Request: e.Request, Detail: e.Detail,
	}
}

func eventFrom(m *EventMessage) wagevent.Event {
	return wagevent.Event{
		Time: time.Unix(0, m.GetTime()), Sequence: m.GetSequence(), Host: m.GetHost(), Kind: wagevent.Kind(m.GetKind()), Service: m.GetService(),
		Server: m.GetServer(), Caller: m.GetCaller(), Request: m.GetRequest(), Detail: m.GetDetail(),
	}
}
