package wagmesh

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagroster"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

func memberMessage(m wagroster.Member) *Member {
	return &Member{Name: m.Name, DataCentre: m.DataCentre, Generation: m.Generation, Address: m.Address.String(), Leaving: m.Leaving, Processor: uint32(max(m.MilliCores, 0))}
}

// memberOf checks what a host says of a member.
func memberOf(m *Member) (wagroster.Member, bool) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || m.GetName() == "" || m.GetDataCentre() == "" {
		return wagroster.Member{}, false
	}
	return wagroster.Member{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Generation: m.GetGeneration(), Address: address, Leaving: m.GetLeaving(),
		MilliCores: int(m.GetProcessor()),
	}, true
}

// compressFrom is the size of records in bytes from which they are compressed.
// Objects of servers repeat their field names and shrink to a tenth.
const compressFrom = 4 << 10

func updateMessage(u wagmirror.Update) (*Update, error) {
	m := &Update{Kind: u.Kind, Full: u.Full, Since: uint64(u.Since), At: uint64(u.At)}
	size := 0
	for _, r := range u.Records {
		m.Records = append(m.Records, &Record{Name: r.Name, Revision: uint64(r.Revision), Body: r.Body, Deleted: r.Deleted})
		size += len(r.Body)
	}
	if size < compressFrom {
		return m, nil
	}
	text, err := proto.Marshal(&Records{Records: m.Records})
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	m.Records, m.Compressed = nil, b.Bytes()
	return m, nil
}

// maxRecords bounds the size of records after decompression, in bytes.
const maxRecords = 64 << 20

func updateOf(m *Update) (u wagmirror.Update, err error) {
	u = wagmirror.Update{Kind: m.GetKind(), Full: m.GetFull(), Since: wagmirror.Revision(m.GetSince()), At: wagmirror.Revision(m.GetAt())}
	records := m.GetRecords()
	if len(m.GetCompressed()) > 0 {
		text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.GetCompressed())), maxRecords+1))
		if err != nil {
			return u, errors.WithMessage(err, "decompress records")
		}
		if len(text) > maxRecords {
			return u, errors.Errorf("the records are longer than %d bytes", maxRecords)
		}
		var list Records
		if err := proto.Unmarshal(text, &list); err != nil {
			return u, errors.WithMessage(err, "decode records")
		}
		records = list.GetRecords()
	}
	for _, r := range records {
		u.Records = append(u.Records, wagmirror.Record{
			Kind: u.Kind, Name: r.GetName(), Revision: wagmirror.Revision(r.GetRevision()), Body: r.GetBody(), Deleted: r.GetDeleted(),
		})
	}
	return u, nil
}

func placeMessage(id uint64, now time.Time, service string, r wagplacement.Request) *Place {
	return &Place{
		Id: id, Service: service, Route: r.Route, Rank: uint32(max(r.Rank, 0)), GoalLeft: int32(r.Goal.Sub(now).Milliseconds()),
		DeadlineLeft: uint32(max(r.Deadline.Sub(now).Milliseconds(), 0)), Avoid: r.Avoid, Repeat: r.Repeat, Foreign: r.Foreign, Name: r.Name, Hedge: r.Hedge,
	}
}

func requestOf(m *Place, now time.Time) wagplacement.Request {
	return wagplacement.Request{
		Route: m.GetRoute(), Rank: int(m.GetRank()), Goal: now.Add(milliseconds(int64(m.GetGoalLeft()))),
		Deadline: now.Add(milliseconds(int64(m.GetDeadlineLeft()))), Avoid: m.GetAvoid(), Repeat: m.GetRepeat(), Foreign: m.GetForeign(), Name: m.GetName(), Hedge: m.GetHedge(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func placedMessage(id uint64, now time.Time, x wagowner.Outcome) *Placed {
	switch x := x.(type) {
	case wagowner.Granted:
		return &Placed{Id: id, Status: Placed_GRANTED, Server: x.Server.ID, Address: x.Server.Address.String(), HedgeAfter: uint32(max(x.HedgeAfter.Milliseconds(), 0))}
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
	m := &Finish{Id: id, Fault: uint32(r.Fault), TookMicros: uint32(max(r.Latency.Microseconds(), 0))}
	if r.HasReport {
		m.Report = &Report{
			Running: uint32(max(r.Report.Running, 0)), Waiting: uint32(max(r.Report.Waiting, 0)), Slots: uint32(max(r.Report.Slots, 0)),
			SlownessPercent: uint32(max(r.Report.Slowness*100+0.5, 0)),
		}
	}
	return m
}

func resultOf(m *Finish) wagplacement.Result {
	r := wagplacement.Result{Fault: wagplacement.Fault(m.GetFault()), Latency: time.Duration(m.GetTookMicros()) * time.Microsecond}
	if report := m.GetReport(); report != nil {
		r.HasReport = true
		r.Report = wagplacement.Report{
			Running: int(report.GetRunning()), Waiting: int(report.GetWaiting()), Slots: int(report.GetSlots()),
			Slowness: float64(report.GetSlownessPercent()) / 100,
		}
	}
	return r
}
