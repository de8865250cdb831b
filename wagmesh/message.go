package wagmesh

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

func memberMessage(m wagroster.Member) *Member {
	return &Member{Name: m.Name, DataCentre: m.DataCentre, Generation: m.Generation, Address: m.Address.String(), Leaving: m.Leaving}
}

func memberMessages(list []wagroster.Member) []*Member {
	messages := make([]*Member, 0, len(list))
	for _, m := range list {
		messages = append(messages, memberMessage(m))
	}
	return messages
}

// memberOf checks what a host says of a member.
func memberOf(m *Member) (wagroster.Member, bool) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || m.GetName() == "" || m.GetDataCentre() == "" {
		return wagroster.Member{}, false
	}
	return wagroster.Member{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Generation: m.GetGeneration(), Address: address, Leaving: m.GetLeaving(),
	}, true
}

func updateMessage(u wagmirror.Update) *Update {
	m := &Update{Kind: u.Kind, Full: u.Full, Since: uint64(u.Since), At: uint64(u.At)}
	for _, r := range u.Records {
		m.Records = append(m.Records, &Record{Name: r.Name, Revision: uint64(r.Revision), Body: r.Body, Deleted: r.Deleted})
	}
	return m
}

func updateOf(m *Update) wagmirror.Update {
	u := wagmirror.Update{Kind: m.GetKind(), Full: m.GetFull(), Since: wagmirror.Revision(m.GetSince()), At: wagmirror.Revision(m.GetAt())}
	for _, r := range m.GetRecords() {
		u.Records = append(u.Records, wagmirror.Record{
			Kind: u.Kind, Name: r.GetName(), Revision: wagmirror.Revision(r.GetRevision()), Body: r.GetBody(), Deleted: r.GetDeleted(),
		})
	}
	return u
}

func placeMessage(id uint64, now time.Time, service string, r wagplacement.Request) *Place {
	return &Place{
		Id: id, Service: service, Route: r.Route, Rank: uint32(max(r.Rank, 0)), GoalLeft: int32(r.Goal.Sub(now).Milliseconds()),
		DeadlineLeft: uint32(max(r.Deadline.Sub(now).Milliseconds(), 0)), Avoid: r.Avoid, Repeat: r.Repeat, Foreign: r.Foreign,
	}
}

func requestOf(m *Place, now time.Time) wagplacement.Request {
	return wagplacement.Request{
		Route: m.GetRoute(), Rank: int(m.GetRank()), Goal: now.Add(milliseconds(int64(m.GetGoalLeft()))),
		Deadline: now.Add(milliseconds(int64(m.GetDeadlineLeft()))), Avoid: m.GetAvoid(), Repeat: m.GetRepeat(), Foreign: m.GetForeign(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func placedMessage(id uint64, now time.Time, x wagowner.Outcome) *Placed {
	switch x := x.(type) {
	case wagowner.Granted:
		return &Placed{Id: id, Status: Placed_GRANTED, Server: x.Server.ID, Address: x.Server.Address.String()}
	case wagowner.Refused:
		return &Placed{Id: id, Status: Placed_REFUSED, Reason: string(x.Reason), RetryAfter: uint32(max(x.RetryAt.Sub(now).Milliseconds(), 0))}
	default:
		return &Placed{Id: id, Status: Placed_REFUSED, Reason: string(wagplacement.ReasonNoServer)}
	}
}

// refusedOf returns the refusal that a message tells of.
func refusedOf(m *Placed, now time.Time) wagowner.Refused {
	return wagowner.Refused{Reason: wagplacement.Reason(m.GetReason()), RetryAt: now.Add(milliseconds(int64(m.GetRetryAfter())))}
}

// serverOf returns the server that a message grants.
func serverOf(m *Placed) (wagserver.Instance, bool) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || m.GetServer() == "" {
		return wagserver.Instance{}, false
	}
	return wagserver.Instance{ID: m.GetServer(), Address: address}, true
}

func finishMessage(id uint64, r wagplacement.Result) *Finish {
	m := &Finish{Id: id, Fault: uint32(r.Fault), TookMicros: uint32(max(r.Took.Microseconds(), 0))}
	if r.HasReport {
		m.Report = &Report{
			Running: uint32(max(r.Report.Running, 0)), Waiting: uint32(max(r.Report.Waiting, 0)), Slots: uint32(max(r.Report.Slots, 0)),
			SlownessPercent: uint32(max(r.Report.Slowness*100+0.5, 0)),
		}
	}
	return m
}

func resultOf(m *Finish) wagplacement.Result {
	r := wagplacement.Result{Fault: wagplacement.Fault(m.GetFault()), Took: time.Duration(m.GetTookMicros()) * time.Microsecond}
	if report := m.GetReport(); report != nil {
		r.HasReport = true
		r.Report = wagplacement.Report{
			Running: int(report.GetRunning()), Waiting: int(report.GetWaiting()), Slots: int(report.GetSlots()),
			Slowness: float64(report.GetSlownessPercent()) / 100,
		}
	}
	return r
}
