package wagtimeline

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoperator"
)

// maxAnswer bounds the events that one host may send, in bytes.
const maxAnswer = 64 << 20

// maxPages bounds the pages of one host; a host keeps fewer events than fit.
const maxPages = 16

// collectTimeout bounds the collection of the events of one host.
const collectTimeout = 10 * time.Second

// HostEvents is what one host answered.
type HostEvents struct {
	Operator netip.AddrPort
	// Events is ordered by sequence.
	Events []wagevent.Event
	// Lost counts the events that the host no longer kept.
	Lost uint64
	// Err tells why the host gave no events, or is nil.
	Err error
}

// EventPage is the body of a host's answer on its operator port.
type EventPage struct {
	// Next is the value of after for the next page.
	Next   uint64           `json:"next"`
	Events []wagevent.Event `json:"events"`
	Lost   uint64           `json:"lost"`
}

// Collect reads the events of all hosts at once. A host that does not answer
// has an error in its stream.
func Collect(ctx context.Context, client *wagoperator.Client, operators []netip.AddrPort) []HostEvents {
	streams := make([]HostEvents, len(operators))
	var g errgroup.Group
	for i, a := range operators {
		g.Go(func() error {
			streams[i] = collectOne(ctx, client, a)
			return nil
		})
	}
	_ = g.Wait()
	return streams
}

// collectOne reads the pages of one host until there is none left. Events that
// are recorded meanwhile are read too, up to a bound.
func collectOne(ctx context.Context, client *wagoperator.Client, operator netip.AddrPort) HostEvents {
	s := HostEvents{Operator: operator}
	request := wagoperator.Request{Address: operator, MaxBytes: maxAnswer, Deadline: time.Now().Add(collectTimeout)}
	after := uint64(0)
	for range maxPages {
		var page EventPage
		request.Path = "/events?after=" + strconv.FormatUint(after, 10)
		if s.Err = client.Read(ctx, request, &page); s.Err != nil || len(page.Events) == 0 {
			return s
		}
		s.Events = append(s.Events, page.Events...)
		s.Lost += page.Lost
		after = page.Next
	}
	return s
}
