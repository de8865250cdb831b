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

// prober asks servers for their reports over connections of the same pool that
// carries requests.
type prober struct {
	site     *SiteHost
	protocol waggateway.Protocol
}

var _ wagowner.Prober = (*prober)(nil)

// Probe asks a server for its report.
func (p *prober) Probe(ctx context.Context, server wagserver.Instance) wagplacement.Result {
	path := p.site.gateway.HealthPath(server.Service)
	if path == "" {
		return wagplacement.Result{Fault: wagplacement.FaultCanceled}
	}
	request := &wagupstream.Request{Method: http.MethodGet, Target: path, Host: server.Address.String(), Header: http.Header{}}
	deadline, _ := ctx.Deadline()
	began := time.Now()
	resp, _, err := p.site.upstream.Exchange(ctx, wagupstream.Server{Address: server.Address, ID: server.ID}, request, deadline)
	r := wagplacement.Result{Latency: time.Since(began)}
	switch {
	case errors.Is(err, wagupstream.ErrNotSent):
		r.Fault = wagplacement.FaultConnect
		return r
	case err != nil:
		r.Fault = wagplacement.FaultBroken
		return r
	}
	r.Report, r.HasReport = p.protocol.LoadReport(resp.Header)
	if id := p.protocol.ServerID(resp.Header); id != "" && id != server.ID {
		return wagplacement.Result{Fault: wagplacement.FaultMisdirected}
	}
	if p.protocol.ProvesNotRun(resp.Status, resp.Header) {
		r.Fault = wagplacement.FaultRejected
	} else if resp.Status >= http.StatusInternalServerError {
		r.Fault = wagplacement.FaultError
	}
	return r
}
