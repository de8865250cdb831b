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

// maxPageBytes bounds one page of events.
const maxPageBytes = 64 << 20

// maxPages bounds the pages that are read from one host; a host keeps fewer events
// than fit into them.
const maxPages = 16

// collectTimeout bounds the time for collecting the events of one host.
const collectTimeout = 10 * time.Second

// HostEvents holds the events that were read from one host.
type HostEvents struct {
	// Operator is the address of the host's operator port.
	Operator netip.AddrPort
	// Events is ordered by sequence.
	Events []wagevent.Event
	// Lost counts the events that the host had overwritten already.
	Lost uint64
	// Err is the error that ended the reading, or nil.
	Err error
}

// EventPage is the body of a response to a request for events on the operator port of
// a host.
type EventPage struct {
	// Next is the query parameter after for the next page.
	Next   uint64           `json:"next"`
	Events []wagevent.Event `json:"events"`
	Lost   uint64           `json:"lost"`
}

// Collect reads the events of all hosts concurrently. Hosts that can't be read have
// Err set.
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

// collectOne reads pages from one host until one is empty, at most maxPages of them.
// Events that the host records meanwhile are included.
func collectOne(ctx context.Context, client *wagoperator.Client, operator netip.AddrPort) HostEvents {
	s := HostEvents{Operator: operator}
	request := wagoperator.Request{Address: operator, MaxBytes: maxPageBytes, Deadline: time.Now().Add(collectTimeout)}
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
