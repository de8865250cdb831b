package wagentry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagsettings"
)

// pipeListener accepts connections in memory, whose deadlines follow the time of a
// synctest bubble.
type pipeListener struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// trackedConn records whether an end of a connection was closed, and before the other.
type trackedConn struct {
	net.Conn
	onClose func()
}

func (c *trackedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// Guards against a host that closes a connection which another host may still send a
// request on: the request may have run, and is answered with an unknown outcome.
func TestForwardPortKeepsConnectionsLongerThanClients(t *testing.T) {
	for name, isUsed := range map[string]bool{"idle after a request": true, "without a request": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
				server := newForwardServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }))
				var g errgroup.Group
				g.Go(func() error { return serve(server, l) })
				defer func() {
					_ = server.Close()
					is.NoErr(g.Wait())
				}()
				var mu sync.Mutex
				var closedBy []string
				recordClose := func(end string) func() {
					return func() {
						mu.Lock()
						defer mu.Unlock()
						closedBy = append(closedBy, end)
					}
				}
				dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
					a, b := net.Pipe()
					l.accepted <- &trackedConn{b, recordClose("server")}
					return &trackedConn{a, recordClose("client")}, nil
				}
				settings, err := wagsettings.Parse("settings", []byte("[host]\nname = a\ndataCentre = dc1\n"))
				is.NoErr(err)
				hosts := New(settings, WithForwardDial(dial)).hostPool
				ep := hosts.get(netip.MustParseAddrPort("10.0.0.1:80"), maxForwardConnections, func(int) {})
				_, ctx := newWriteGuard(t.Context(), func() bool { return true })
				if isUsed {
					r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1/", http.NoBody)
					is.NoErr(err)
					resp, err := ep.transport.RoundTrip(r)
					is.NoErr(err)
					_, err = io.Copy(io.Discard, resp.Body)
					is.NoErr(err)
					is.NoErr(resp.Body.Close())
				} else {
					conn, err := ep.dial(ctx)
					is.NoErr(err)
					closeClient := time.AfterFunc(ep.transport.IdleConnTimeout, func() { _ = conn.Close() })
					defer closeClient.Stop()
				}
				time.Sleep(time.Hour) //nolint:forbidigo // The time of a bubble passes at once.
				mu.Lock()
				defer mu.Unlock()
				is.True(len(closedBy) > 0)
				is.Equal(closedBy[0], "client")
			})
		})
	}
}
