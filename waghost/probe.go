package waghost

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// prober fetches the load reports of servers. It uses the connection pool that also
// serves requests.
type prober struct {
	host     *SiteHost
	protocol waggateway.Protocol
}

var _ wagowner.Prober = (*prober)(nil)

// Probe sends a health check to a server and returns its load report. It returns
// FaultCanceled if the service has no health path.
func (p *prober) Probe(ctx context.Context, server wagserver.Instance) wagplacement.Result {
	path := p.host.gateway.HealthPath(server.Service)
	if path == "" {
		return wagplacement.Result{Fault: wagplacement.FaultCanceled}
	}
	request := &wagupstream.Request{Method: http.MethodGet, Target: path, Host: server.Address.String(), Header: http.Header{}}
	deadline, _ := ctx.Deadline()
	start := time.Now()
	if !start.Before(deadline) {
		// This host was too slow to send the probe.
		return wagplacement.Result{Fault: wagplacement.FaultCanceled}
	}
	target := wagupstream.Server{Address: server.Address, ID: server.ID}
	resp, _, err := p.host.upstream.Exchange(ctx, target, request, deadline)
	result := wagplacement.Result{Latency: time.Since(start)}
	switch {
	case errors.Is(err, wagupstream.ErrRestricted):
		restriction, _ := p.host.upstream.RestrictionOf(target)
		return wagplacement.Result{Fault: wagplacement.FaultCanceled, Leaving: restriction.Leaving, BusyUntil: restriction.Until}
	case errors.Is(err, wagupstream.ErrTooManyConnections):
		// The cause is this host, so that the server stays in service.
		return wagplacement.Result{Fault: wagplacement.FaultCanceled}
	case err != nil && !time.Now().Before(deadline):
		result.Fault = wagplacement.FaultTimeout
		return result
	case errors.Is(err, wagupstream.ErrNotSent):
		result.Fault = wagplacement.FaultConnect
		return result
	case err != nil:
		result.Fault = wagplacement.FaultBroken
		return result
	}
	if resp.BodyRest != nil {
		_ = resp.BodyRest.Close() // always nil
	}
	result.Leaving = p.protocol.IsLeaving(resp.Header)
	if busyFor := p.protocol.BusyFor(resp.Status, resp.Header); busyFor > 0 {
		result.BusyUntil = p.host.clock.Now().Add(busyFor)
	}
	if result.Leaving || !result.BusyUntil.IsZero() {
		p.host.upstream.Restrict(server.Service, target, wagupstream.Restriction{Leaving: result.Leaving, Until: result.BusyUntil})
	}
	result.ColdUntil = p.protocol.ColdUntil(resp.Header, p.host.clock.Now())
	result.Report, result.HasReport = p.protocol.LoadReport(resp.Header)
	if id := p.protocol.ServerID(resp.Header); id != "" && id != server.ID {
		return wagplacement.Result{Fault: wagplacement.FaultMisdirected}
	}
	if p.protocol.ProvesNotRun(resp.Status, resp.Header) {
		result.Fault = wagplacement.FaultRejected
	} else if resp.Status >= http.StatusInternalServerError {
		result.Fault = wagplacement.FaultError
	}
	return result
}
