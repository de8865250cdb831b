package waghost

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Guards against a host that takes no notice of the descriptors in its settings, and
// against one without this setting that bounds its connections.
func TestConnectionLimitFollowsTheSettings(t *testing.T) {
	is := is.New(t)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a", MaxFileDescriptors: 4100}, noStore{}, fakeDecoder{}, nil)
	is.Equal(s.upstream.Stats().Limit, 1462)
	w := httptest.NewRecorder()
	s.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), "wagtailspar_site_server_connections_limit 1462\n"))
	s = NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, fakeDecoder{}, nil)
	is.Equal(s.upstream.Stats().Limit, 0)
}

// Guards against a probe that takes a server for unreachable because this host has no
// connection left for it.
func TestProbeWithoutConnection(t *testing.T) {
	is := is.New(t)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, fakeDecoder{}, nil)
	config, err := wagsite.New(1, wagsite.Limits{}, []wagsite.Service{{Name: "lots", HealthPath: "/health"}}, nil)
	is.NoErr(err)
	s.gateway.SetConfig(config)
	hold, received := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "r1")
		received <- struct{}{}
		<-hold
	}))
	defer server.Close()
	defer release() // Close waits for the handler, also when a check fails
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	s.upstream = wagupstream.NewPool("Request-Id", wagupstream.WithMaxConnections(1))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p := &prober{host: s, protocol: struct{ waggateway.Protocol }{}}
	instance := wagserver.Instance{ID: "s1", Service: "lots", Address: address}
	var g errgroup.Group
	g.Go(func() error {
		_, _, err := s.upstream.Exchange(ctx, wagupstream.Server{Address: address, ID: "s1"}, &wagupstream.Request{Method: http.MethodGet, Target: "/", Host: "a", ID: "r1"}, time.Now().Add(time.Second))
		return err
	})
	<-received
	is.Equal(p.Probe(ctx, instance), wagplacement.Result{Fault: wagplacement.FaultCanceled})
	release()
	is.NoErr(g.Wait())
}
