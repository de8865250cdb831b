package wagpublish

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagoperator"
)

// maxStatus bounds the status that one host may send, in bytes.
const maxStatus = 16 << 20

// Polling of hosts for the documents in force.
const (
	statusTimeout = 2 * time.Second
	pollInterval  = 100 * time.Millisecond
)

// HostStatus is what a host answers on its operator port at /documents.
type HostStatus struct {
	Host       string           `json:"host"`
	DataCentre string           `json:"dataCentre"`
	Documents  []DocumentStatus `json:"documents"`
	// Err tells why the host gave no status, or is nil.
	Err error `json:"-"`
	// Operator is the address that was asked.
	Operator netip.AddrPort `json:"-"`
}

// DocumentStatus is the state of one document at one host.
type DocumentStatus struct {
	Service string `json:"service"`
	// Revision is the one in force; 0 when there is none.
	Revision int64  `json:"revision"`
	Writer   string `json:"writer,omitempty"`
	// Problem tells why a newer text is not in force: file, line, section, key,
	// value and what is allowed.
	Problem string `json:"problem,omitempty"`
	// Since is when the revision came into force at the host.
	Since time.Time `json:"since"`
}

// FindDocument returns the state of a service's document.
func (s HostStatus) FindDocument(service string) DocumentStatus {
	for _, d := range s.Documents {
		if d.Service == service {
			return d
		}
	}
	return DocumentStatus{Service: service}
}

// FetchStatuses reads the status of all hosts at once.
func FetchStatuses(ctx context.Context, client *wagoperator.Client, operators []netip.AddrPort) []HostStatus {
	statuses := make([]HostStatus, len(operators))
	var g errgroup.Group
	for i, a := range operators {
		g.Go(func() error {
			request := wagoperator.Request{Address: a, Path: "/documents", MaxBytes: maxStatus, Deadline: time.Now().Add(statusTimeout)}
			err := client.Read(ctx, request, &statuses[i])
			statuses[i].Operator, statuses[i].Err = a, err
			return nil
		})
	}
	_ = g.Wait()
	return statuses
}

// LaggingHosts returns the hosts at which the revision, or a later one, is not in
// force.
func LaggingHosts(statuses []HostStatus, service string, revision int64) []HostStatus {
	var lagging []HostStatus
	for _, s := range statuses {
		if s.Err != nil || s.FindDocument(service).Revision < revision {
			lagging = append(lagging, s)
		}
	}
	return lagging
}

// WaitInForce polls the hosts until the revision is in force on all of them or
// ctx ends, and returns those that lag then.
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
