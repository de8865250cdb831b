package waghost

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// coldProtocol reads how much longer a server is cold, in seconds.
type coldProtocol struct{ waggateway.Protocol }

func (coldProtocol) ColdUntil(h http.Header, now time.Time) time.Time {
	seconds, err := strconv.Atoi(h.Get("Cold"))
	if err != nil {
		return time.Time{}
	}
	return now.Add(time.Duration(seconds) * time.Second)
}

func (coldProtocol) IsLeaving(http.Header) bool             { return false }
func (coldProtocol) BusyFor(int, http.Header) time.Duration { return 0 }
func (coldProtocol) LoadReport(http.Header) (r wagplacement.Report, ok bool) {
	return r, false
}
func (coldProtocol) ServerID(http.Header) string        { return "" }
func (coldProtocol) ProvesNotRun(int, http.Header) bool { return false }

// Guards against a server that becomes cold again without a new entry, which only its
// health responses show, and against a rate that a new configuration does not change.
func TestProbeShowsColdServer(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Cold", "3")
	}))
	defer server.Close()
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a", Limits: wagowner.Limits{ColdOverage: 1.5, ColdSlack: 8}}, noStore{}, fakeDecoder{}, nil)
	s.upstream = wagupstream.NewPool("Request-Id")
	config, err := wagsite.New(1, wagsite.Limits{}, []wagsite.Service{{Name: "lots", HealthPath: "/health", ColdRate: 4.3}, {Name: "other"}}, nil)
	is.NoErr(err)
	s.gateway.SetConfig(config)
	is.Equal(coldRates(config), map[string]float64{"lots": 4.3})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p := &prober{host: s, protocol: coldProtocol{}}
	before := time.Now()
	r := p.Probe(ctx, wagserver.Instance{ID: "s1", Service: "lots", Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	is.Equal(r.Fault, wagplacement.FaultNone)
	is.True(!r.ColdUntil.Before(before.Add(3 * time.Second)))
	s.observer.ObserveGrant("lots", 0, wagplacement.Grant{Inputs: wagplacement.DecisionInputs{Cold: true}})
	w := httptest.NewRecorder()
	s.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{"wagtailspar_site_cold_servers 0\n", "wagtailspar_site_cold_grants_total{service=\"lots\"} 1\n"} {
		is.True(strings.Contains(w.Body.String(), line))
	}
}
