package wagentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsettings"
)

const testDocument = `[service]
name = lots
deadline = 20s
[revision]
number = %d
[limits]
bodyBytes = 100
[retries]
share = 1
%s
[errors]
notRunHeader = Not-Run
[route "repeat"]
path = /repeat*
repeatable = true
`

// testHost is a proxy without the loops of Run. caller and forward are the addresses of
// its ports.
type testHost struct {
	*Proxy
	caller, forward string
}

// newTestHost returns a host in data centre dc1. The text retries is added to the retries
// section of its document.
func newTestHost(t testing.TB, name, retries string, servers []wagserver.Server, opts ...Option) *testHost {
	t.Helper()
	return newTestHostIn(t, "dc1", name, retries, servers, opts...)
}

func newTestHostIn(t testing.TB, dataCentre, name, retries string, servers []wagserver.Server, opts ...Option) *testHost {
	t.Helper()
	s, err := wagsettings.Parse("settings", []byte("[host]\nname = "+name+"\ndataCentre = "+dataCentre+"\n"))
	is.New(t).NoErr(err)
	h := &testHost{Proxy: New(s, append([]Option{WithSeed(1)}, opts...)...)}
	h.caller, h.forward = startServer(t, h.callerHandler()), startServer(t, h.forwardHandler())
	h.setDocument(1, retries)
	h.SetServers(servers)
	return h
}

func (h *testHost) setDocument(revision int, retries string) {
	text := fmt.Sprintf(testDocument, revision, retries)
	d, err := wagdocument.Parse("documents/lots", []byte(text))
	if err != nil {
		panic(err)
	}
	h.SetDocuments(map[string]*wagdocument.Document{"lots": d})
}

func startServer(t testing.TB, handler http.Handler) string {
	s := httptest.NewUnstartedServer(nil)
	s.Config = newServer(handler)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func liveServer(address string) wagserver.Server {
	return wagserver.Server{Service: "lots", DataCentre: "dc1", Address: netip.MustParseAddrPort(address), State: wagserver.Live}
}

func liveServers(addresses ...string) (list []wagserver.Server) {
	for _, a := range addresses {
		list = append(list, liveServer(a))
	}
	return list
}

// rawServer is a server that responds with raw bytes and records requests.
type rawServer struct {
	address      string
	mu           sync.Mutex
	requestLines []string
}

// newRawServer returns a server that calls respond after each request, with the number
// of requests on the connection. It closes the connection when respond returns false.
func newRawServer(t testing.TB, respond func(c net.Conn, count int) bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &rawServer{address: l.Addr().String()}
	var g errgroup.Group
	t.Cleanup(func() { _ = l.Close() })
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { return s.serve(c, respond) })
		}
	})
	return s
}

func (s *rawServer) serve(c net.Conn, respond func(c net.Conn, count int) bool) error {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for count := 1; ; count++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return nil
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return nil
		}
		s.mu.Lock()
		s.requestLines = append(s.requestLines, req.Method+" "+req.URL.Path)
		s.mu.Unlock()
		if !respond(c, count) {
			return nil
		}
	}
}

func (s *rawServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requestLines)
}

// respondWith returns a respond function that writes text and keeps the connection open.
func respondWith(text string) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// sendRaw sends raw bytes and returns everything that is received until the connection
// is closed.
func sendRaw(t testing.TB, address, request string) string {
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request)
	is.New(t).NoErr(err)
	all, _ := io.ReadAll(c)
	return string(all)
}

// doRequest sends a request and returns the response and its body.
func doRequest(t testing.TB, method, address, path, body string, headers ...string) (*http.Response, string, error) {
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, r)
	is.New(t).NoErr(err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// staticMembership is a Membership that doesn't change.
type staticMembership []wagmember.Member

func (m staticMembership) Members(time.Time) []wagmember.Member { return m }

func member(name, dataCentre, forward string) wagmember.Member {
	return wagmember.Member{Name: name, DataCentre: dataCentre, Forward: netip.MustParseAddrPort(forward)}
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// runInBackground runs f concurrently and waits for it at the end of the test.
func runInBackground(t testing.TB, f func()) {
	var g errgroup.Group
	g.Go(func() error {
		f()
		return nil
	})
	t.Cleanup(func() { _ = g.Wait() })
}
