package waghost

import (
	"time"

	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// observer writes the decisions of a host to its log and its metrics.
type observer struct {
	host      string
	log       *waglog.Log
	metrics   *wagmetrics.SiteMetrics
	shortages *shortages
	now       func() time.Time
	// copyState returns the position of the copy of the store, and its age.
	copyState func() (wagmirror.Position, time.Duration)
}

// grantingHost returns the host that granted a server; name is empty for this host.
func (o observer) grantingHost(name string) string {
	if name == "" {
		return o.host
	}
	return name
}

var (
	_ waggateway.Observer = observer{}
	_ wagowner.Observer   = observer{}
)

// RequestEnded counts and logs a request that has ended.
func (o observer) RequestEnded(e waggateway.RequestResult) {
	o.metrics.Requests.WithLabelValues(e.Route, string(e.Outcome), e.Reason).Inc()
	if e.Outcome == waggateway.OutcomeRefused && e.Reason == waggateway.ReasonTooManyConnections {
		o.countRefusal(causeServerConnections)
		o.logShortage(causeServerConnections)
	}
	if e.Route != "" {
		o.metrics.RequestDuration.WithLabelValues(e.Route).Observe(e.Duration.Seconds())
		o.metrics.WaitDuration.WithLabelValues(e.Service).Observe(e.WaitTime.Seconds())
	}
	fields := waglog.Fields{
		"request": e.RequestID, "caller": e.CallerAddress, "route": e.Route, "service": e.Service, "version": uint64(e.ConfigVersion),
		"outcome": e.Outcome, "status": e.Status, "reason": e.Reason, "server": e.ServerID, "attempts": e.Attempts,
		"waitedMs": ms(e.WaitTime), "tookMs": ms(e.Duration), "inGoal": e.WithinGoal,
	}
	if e.Customer != "" {
		fields["customer"] = e.Customer
	}
	if !e.SentAt.IsZero() {
		state, age := o.copyState()
		fields["grantedBy"], fields["sinceSentMs"] = o.grantingHost(e.GrantedBy), ms(o.now().Sub(e.SentAt))
		fields["revision"], fields["copyAgeMs"] = uint64(state.Revision), ms(age)
	}
	o.log.Info(waglog.KindRequest, fields)
}

// AttemptEnded counts an attempt that has ended, and logs it if it had a fault.
func (o observer) AttemptEnded(e waggateway.AttemptResult) {
	o.metrics.Attempts.WithLabelValues(e.Service, e.Fault.String()).Inc()
	if e.Number > 1 {
		o.metrics.Repeats.WithLabelValues(e.Service).Inc()
	}
	if e.Fault == wagplacement.FaultNone {
		return
	}
	o.log.Info(waglog.KindAttempt, waglog.Fields{
		"request": e.RequestID, "service": e.Service, "server": e.ServerID, "attempt": e.Number, "fault": e.Fault.String(), "status": e.Status,
		"reason": e.Reason, "detail": e.Detail, "reused": e.ConnReused, "tookMs": ms(e.Duration), "leftMs": ms(e.TimeLeft),
		"grantedBy": o.grantingHost(e.GrantedBy),
	})
}

// ObserveGrant counts and logs the assignment of a server to a request.
func (o observer) ObserveGrant(service string, waited time.Duration, g wagplacement.Grant) {
	o.metrics.Grants.WithLabelValues(service).Inc()
	if g.Inputs.Cold {
		o.metrics.ColdGrants.WithLabelValues(service).Inc()
	}
	o.metrics.ReportAge.WithLabelValues(service).Observe(g.Inputs.ReportAge.Seconds())
	fields := waglog.Fields{
		"request": g.Request.Name, "service": service, "server": g.Server.ID, "running": g.Inputs.Running, "slowness": g.Inputs.Slowness,
		"reportAgeMs": ms(g.Inputs.ReportAge), "workMs": ms(g.Inputs.ServiceTime), "waiting": g.Inputs.Waiting, "slots": g.Inputs.Slots, "waitedMs": ms(waited),
		"late": g.Inputs.Late, "repeat": g.Request.Repeat, "hedge": g.Request.Hedge, "foreign": g.Request.Foreign,
	}
	if g.Inputs.Cold {
		fields["cold"] = true
	}
	state, age := o.copyState()
	fields["era"], fields["revision"], fields["copyAgeMs"] = uint64(state.Era), uint64(state.Revision), ms(age)
	o.log.Info(waglog.KindGrant, fields)
}

// ObserveRefusal counts and logs a request that was assigned no server, with the reason.
func (o observer) ObserveRefusal(service string, waited time.Duration, r wagplacement.Refuse) {
	o.metrics.Refusals.WithLabelValues(service, string(r.Reason)).Inc()
	o.log.Info(waglog.KindRefusal, waglog.Fields{
		"request": r.Request.Name, "service": service, "reason": r.Reason, "expectedMs": ms(r.Inputs.ExpectedWait), "workMs": ms(r.Inputs.ServiceTime), "waiting": r.Inputs.Waiting,
		"slots": r.Inputs.Slots, "waitedMs": ms(waited), "repeat": r.Request.Repeat, "hedge": r.Request.Hedge, "foreign": r.Request.Foreign,
	})
}

// ObserveSpill counts and logs a request for which another data centre was asked.
func (o observer) ObserveSpill(service string, s wagplacement.Spill, granted bool) {
	outcome := "refused"
	if granted {
		outcome = "granted"
	}
	o.metrics.Spills.WithLabelValues(service, outcome).Inc()
	o.log.Info(waglog.KindSpill, waglog.Fields{"request": s.Request.Name, "service": service, "dataCentre": s.DataCentre, "outcome": outcome})
}

// ObserveProbe counts a probe, and logs it if it failed.
func (o observer) ObserveProbe(server wagserver.Instance, r wagplacement.Result) {
	o.metrics.Probes.WithLabelValues(server.Service, r.Fault.String()).Inc()
	if r.Fault != wagplacement.FaultNone {
		o.log.Info(waglog.KindServer, waglog.Fields{"server": server.ID, "service": server.Service, "probe": r.Fault.String(), "tookMs": ms(r.Latency)})
	}
}

// causeServerConnections is the cause of requests that are refused because this host has
// its share of connections to servers.
const causeServerConnections = "serverConnections"

// countRefusal counts a caller that was refused or whose connection was closed.
func (o observer) countRefusal(cause string) { o.metrics.CallersRefused.WithLabelValues(cause).Inc() }

// CallerRefused counts a caller that was refused or closed before a request ended, and logs
// the beginning of a shortage.
func (o observer) CallerRefused(cause waggateway.RefusalCause) {
	o.countRefusal(string(cause))
	switch cause {
	case waggateway.CauseMemory, waggateway.CauseConnections:
		o.logShortage(string(cause))
	default:
		// The caller exceeds a limit by itself: the host is not short of anything.
	}
}

// logShortage logs that this host begins to refuse callers because of a shortage.
func (o observer) logShortage(cause string) {
	if o.shortages.record(o.now(), cause) {
		o.log.Warn(waglog.KindHost, waglog.Fields{"event": "shortage", "cause": cause})
	}
}

// logEndOfShortage logs that no caller was refused for some time because of a shortage.
func (o observer) logEndOfShortage() {
	over, ended := o.shortages.end(o.now())
	if !ended {
		return
	}
	var total uint64
	for _, n := range over.refused {
		total += n
	}
	o.log.Warn(waglog.KindHost, waglog.Fields{"event": "shortageOver", "refused": total, "causes": over.refused, "lastedMs": ms(over.duration)})
}

// ms returns a duration in milliseconds with three decimals.
func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
