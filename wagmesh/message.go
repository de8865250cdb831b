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

// memberMessage converts a member to its message.
func memberMessage(m wagroster.Member) *Member {
	return &Member{Name: m.Name, DataCentre: m.DataCentre, Generation: m.Generation, Address: m.Address.String(), Leaving: m.Leaving, Processor: uint32(max(m.MilliCores, 0))}
}

// memberFromMessage converts a message to a member. It returns false when the message has
// no name, data centre or valid address.
func memberFromMessage(m *Member) (wagroster.Member, bool) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || m.GetName() == "" || m.GetDataCentre() == "" {
		return wagroster.Member{}, false
	}
	return wagroster.Member{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Generation: m.GetGeneration(), Address: address, Leaving: m.GetLeaving(),
		MilliCores: int(m.GetProcessor()),
	}, true
}

// positionFromMessage returns the position up to which a copy is complete.
func positionFromMessage(m *Complete) wagmirror.Position {
	return wagmirror.Position{Era: wagmirror.Era(m.GetEra()), Revision: wagmirror.Revision(m.GetRevision())}
}

// minCompressBytes is the size from which the records of an update are compressed. The
// objects of servers repeat their field names and shrink to a tenth.
const minCompressBytes = 4 << 10

// updateMessage converts an update to its message and compresses large records.
func updateMessage(u wagmirror.Update) (*Update, error) {
	m := &Update{Kind: u.Kind, Era: uint64(u.Era), Full: u.Full, Since: uint64(u.Since), At: uint64(u.At)}
	size := 0
	for _, r := range u.Records {
		m.Records = append(m.Records, &Record{Name: r.Name, Revision: uint64(r.Revision), Body: r.Body, Deleted: r.Deleted})
		size += len(r.Body)
	}
	if size < minCompressBytes {
		return m, nil
	}
	data, err := proto.Marshal(&Records{Records: m.Records})
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	m.Records, m.Compressed = nil, b.Bytes()
	return m, nil
}

// maxRecordsBytes bounds the size of the records of an update after decompression.
const maxRecordsBytes = 64 << 20

// updateFromMessage converts a message to an update and decompresses its records.
func updateFromMessage(m *Update) (u wagmirror.Update, err error) {
	u = wagmirror.Update{Kind: m.GetKind(), Era: wagmirror.Era(m.GetEra()), Full: m.GetFull(), Since: wagmirror.Revision(m.GetSince()), At: wagmirror.Revision(m.GetAt())}
	records := m.GetRecords()
	if len(m.GetCompressed()) > 0 {
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.GetCompressed())), maxRecordsBytes+1))
		if err != nil {
			return u, errors.WithMessage(err, "decompress records")
		}
		if len(data) > maxRecordsBytes {
			return u, errors.Errorf("decompressed records are longer than %d bytes", maxRecordsBytes)
		}
		var decoded Records
		if err := proto.Unmarshal(data, &decoded); err != nil {
			return u, errors.WithMessage(err, "decode records")
		}
		records = decoded.GetRecords()
	}
	for _, r := range records {
		u.Records = append(u.Records, wagmirror.Record{
			Kind: u.Kind, Name: r.GetName(), Revision: wagmirror.Revision(r.GetRevision()), Body: r.GetBody(), Deleted: r.GetDeleted(),
		})
	}
	return u, nil
}

// placeMessage converts a request to its message. Times become the time that is left.
func placeMessage(id uint64, now time.Time, service string, r wagplacement.Request) *Place {
	return &Place{
		Id: id, Service: service, Route: r.Route, Rank: uint32(max(r.Rank, 0)), GoalLeft: int32(r.Goal.Sub(now).Milliseconds()),
		DeadlineLeft: uint32(max(r.Deadline.Sub(now).Milliseconds(), 0)), Avoid: r.Avoid, Repeat: r.Repeat, Foreign: r.Foreign, Name: r.Name, Hedge: r.Hedge,
		Customer: r.Customer, PlacedAgain: r.PlacedAgain,
	}
}

// requestFromMessage converts a message to a request.
func requestFromMessage(m *Place, now time.Time) wagplacement.Request {
	return wagplacement.Request{
		Route: m.GetRoute(), Rank: int(m.GetRank()), Goal: now.Add(milliseconds(int64(m.GetGoalLeft()))),
		Deadline: now.Add(milliseconds(int64(m.GetDeadlineLeft()))), Avoid: m.GetAvoid(), Repeat: m.GetRepeat(), Foreign: m.GetForeign(), Name: m.GetName(), Hedge: m.GetHedge(),
		Customer: m.GetCustomer(), PlacedAgain: m.GetPlacedAgain(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// placedMessage converts the decision on a request to its message.
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

// refusalFromMessage converts the message of a refused request to the refusal.
func refusalFromMessage(m *Placed, now time.Time) wagowner.Refused {
	return wagowner.Refused{Reason: wagplacement.Reason(m.GetReason()), RetryAt: now.Add(milliseconds(int64(m.GetRetryAfter())))}
}

// serverFromMessage returns the server of a granted request. It returns false when the
// message has no ID or valid address of the server.
func serverFromMessage(m *Placed) (wagserver.Instance, bool) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || m.GetServer() == "" {
		return wagserver.Instance{}, false
	}
	return wagserver.Instance{ID: m.GetServer(), Address: address}, true
}

// finishMessage converts the result of an attempt to its message.
func finishMessage(id uint64, r wagplacement.Result) *Finish {
	m := &Finish{Id: id, Fault: uint32(r.Fault), TookMicros: uint32(max(r.Latency.Microseconds(), 0)), Leaving: r.Leaving}
	if r.HasReport {
		m.Report = &Report{
			Running: uint32(max(r.Report.Running, 0)), Waiting: uint32(max(r.Report.Waiting, 0)), Slots: uint32(max(r.Report.Slots, 0)),
			SlownessPercent: uint32(max(r.Report.Slowness*100+0.5, 0)),
		}
	}
	return m
}

// resultFromMessage converts a message to the result of an attempt.
func resultFromMessage(m *Finish) wagplacement.Result {
	r := wagplacement.Result{Fault: wagplacement.Fault(m.GetFault()), Latency: time.Duration(m.GetTookMicros()) * time.Microsecond, Leaving: m.GetLeaving()}
	if report := m.GetReport(); report != nil {
		r.HasReport = true
		r.Report = wagplacement.Report{
			Running: int(report.GetRunning()), Waiting: int(report.GetWaiting()), Slots: int(report.GetSlots()),
			Slowness: float64(report.GetSlownessPercent()) / 100,
		}
	}
	return r
}
