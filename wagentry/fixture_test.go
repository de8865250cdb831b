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

// host is an entry host without the loops of Run.
type host struct {
	*Proxy
	caller, forward string
}

func newHost(t testing.TB, name, retries string, servers []wagserver.Server, opts ...Option) *host {
	t.Helper()
	return newHostIn(t, "dc1", name, retries, servers, opts...)
}

func newHostIn(t testing.TB, dataCentre, name, retries string, servers []wagserver.Server, opts ...Option) *host {
	t.Helper()
	s, err := wagsettings.Parse("settings", []byte("[host]\nname = "+name+"\ndataCentre = "+dataCentre+"\n"))
	is.New(t).NoErr(err)
	h := &host{Proxy: New(s, append([]Option{WithSeed(1)}, opts...)...)}
	h.caller, h.forward = start(t, h.callerHandler()), start(t, h.forwardHandler())
	h.put(1, retries)
	h.SetServers(servers)
	return h
}

func (h *host) put(revision int, retries string) {
	text := fmt.Sprintf(testDocument, revision, retries)
	d, err := wagdocument.Parse("documents/lots", []byte(text))
	if err != nil {
		panic(err)
	}
	h.SetDocuments(map[string]*wagdocument.Document{"lots": d})
}

func start(t testing.TB, handler http.Handler) string {
	s := httptest.NewUnstartedServer(nil)
	s.Config = newServer(handler)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func server(address string) wagserver.Server {
	return wagserver.Server{Service: "lots", DataCentre: "dc1", Address: netip.MustParseAddrPort(address), State: wagserver.Live}
}

func servers(addresses ...string) (list []wagserver.Server) {
	for _, a := range addresses {
		list = append(list, server(a))
	}
	return list
}

// rawServer answers connections by a function and counts requests.
type rawServer struct {
	address string
	mu      sync.Mutex
	heads   []string
}

// newRawServer reads requests and calls respond with the count of requests on
// the connection; the connection is closed when respond returns false.
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
		s.heads = append(s.heads, req.Method+" "+req.URL.Path)
		s.mu.Unlock()
		if !respond(c, count) {
			return nil
		}
	}
}

func (s *rawServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heads)
}

// write returns a respond function that writes text and keeps the connection.
func write(text string) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// exchange sends raw bytes and returns all that comes back until the
// connection is closed.
func exchange(t testing.TB, address, request string) string {
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request)
	is.New(t).NoErr(err)
	all, _ := io.ReadAll(c)
	return string(all)
}

// do makes a call and returns its answer with the body read.
func do(t testing.TB, method, address, path, body string, headers ...string) (*http.Response, string, error) {
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

// table is a membership that does not change.
type table []wagmember.Member

func (m table) Members(time.Time) []wagmember.Member { return m }

func member(name, dataCentre, forward string) wagmember.Member {
	return wagmember.Member{Name: name, DataCentre: dataCentre, Forward: netip.MustParseAddrPort(forward)}
}

// refusing returns an address that refuses connections.
func refusing(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// beside runs f beside the test and waits for it at the end.
func beside(t testing.TB, f func()) {
	var g errgroup.Group
	g.Go(func() error {
		f()
		return nil
	})
	t.Cleanup(func() { _ = g.Wait() })
}
