package wagpublish

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagoperator"
)

// maxStatusBytes bounds the status of one host.
const maxStatusBytes = 16 << 20

const (
	// statusTimeout bounds one read of the status of a host.
	statusTimeout = 2 * time.Second
	// pollInterval is the time between two reads of the status of all hosts.
	pollInterval = 100 * time.Millisecond
)

// HostStatus is the response of a host at /documents on its operator port.
type HostStatus struct {
	Host       string           `json:"host"`
	DataCentre string           `json:"dataCentre"`
	Documents  []DocumentStatus `json:"documents"`
	// Err is the reason why the host gave no status, or nil.
	Err error `json:"-"`
	// Operator is the address that the status was read from.
	Operator netip.AddrPort `json:"-"`
}

// DocumentStatus is the state of one document at one host.
type DocumentStatus struct {
	Service string `json:"service"`
	// Revision is the revision in force, or 0 if there is none.
	Revision int64  `json:"revision"`
	Writer   string `json:"writer,omitempty"`
	// Problem is the reason why a newer document is not in force: file, line,
	// section, key, value and what is allowed.
	Problem string `json:"problem,omitempty"`
	// Since is when the revision came into force at the host.
	Since time.Time `json:"since"`
}

// FindDocument returns the state of the document of a service.
func (s HostStatus) FindDocument(service string) DocumentStatus {
	for _, d := range s.Documents {
		if d.Service == service {
			return d
		}
	}
	return DocumentStatus{Service: service}
}

// FetchStatuses reads the status of all hosts concurrently.
func FetchStatuses(ctx context.Context, client *wagoperator.Client, operators []netip.AddrPort) []HostStatus {
	statuses := make([]HostStatus, len(operators))
	var g errgroup.Group
	for i, a := range operators {
		g.Go(func() error {
			request := wagoperator.Request{Address: a, Path: "/documents", MaxBytes: maxStatusBytes, Deadline: time.Now().Add(statusTimeout)}
			err := client.Read(ctx, request, &statuses[i])
			statuses[i].Operator, statuses[i].Err = a, err
			return nil
		})
	}
	_ = g.Wait()
	return statuses
}

// LaggingHosts returns the hosts that have neither the revision nor a later one in
// force, or gave no status.
func LaggingHosts(statuses []HostStatus, service string, revision int64) []HostStatus {
	var lagging []HostStatus
	for _, s := range statuses {
		if s.Err != nil || s.FindDocument(service).Revision < revision {
			lagging = append(lagging, s)
		}
	}
	return lagging
}

// WaitInForce polls the hosts until the revision is in force on all of them or ctx
// is canceled. It returns the hosts that lag at that time.
func WaitInForce(ctx context.Context, client *wagoperator.Client, operators []netip.AddrPort, service string, revision int64) []HostStatus {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		lagging := LaggingHosts(FetchStatuses(ctx, client, operators), service, revision)
		if len(lagging) == 0 || ctx.Err() != nil {
			return lagging
		}
		select {
		case <-ctx.Done():
			return lagging
		case <-t.C:
		}
	}
}
