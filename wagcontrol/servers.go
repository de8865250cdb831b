package wagcontrol

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// maxHostListBytes bounds the size of the host list.
	maxHostListBytes = 16 << 20
	// hostListTimeout bounds one read of the host list.
	hostListTimeout = 5 * time.Second
)

// followHostList reads the host list at the interval of the settings until ctx is
// canceled.
func (c *Control) followHostList(ctx context.Context) error {
	for ctx.Err() == nil {
		c.readHostList(ctx)
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(c.settings.HostList.Interval))
	}
	return nil
}

// readHostList passes the servers of the host list to the list of servers.
func (c *Control) readHostList(ctx context.Context) {
	readAt := c.clock.Now()
	list, err := c.fetchHostList(ctx)
	if err != nil {
		c.log.WithError(err).Debug("the host list could not be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runServerCommands(ctx, c.servers.Handle(c.clock.Now(), wagserver.HostList{ReadAt: readAt, Servers: list}))
}

func (c *Control) fetchHostList(ctx context.Context) (list []wagserver.Server, err error) {
	defer func() { err = errors.WithMessage(err, "read host list") }()
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.settings.HostList.Address.String()+"/servers", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the host list answered %s", resp.Status)
	}
	list = []wagserver.Server{}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHostListBytes)).Decode(&list)
	return list, err
}

// runServerCommands executes the commands of the list of servers. c.mu must be
// held.
func (c *Control) runServerCommands(ctx context.Context, commands []wagserver.Command) {
	changed := false
	for _, command := range commands {
		switch x := command.(type) {
		case wagserver.ShareObservations:
			for _, to := range c.recipients() {
				c.spawn(func() { _ = c.peers.Share(ctx, to.Peer, x.Observations) })
			}
		case wagserver.ServersChanged:
			changed = true
		}
	}
	if changed && c.dataPlane != nil {
		c.dataPlane.SetServers(c.allServers())
		c.updateLeases(ctx)
	}
}

// allServers returns the servers of all services.
func (c *Control) allServers() []wagserver.Server {
	servers := []wagserver.Server{}
	for _, name := range c.servers.Services() {
		servers = append(servers, c.servers.Servers(name)...)
	}
	return servers
}

// Observe takes an observation of a server that a request made. Responses are
// frequent, so they are recorded without locking c.mu.
func (c *Control) Observe(service string, server netip.AddrPort, kind wagserver.ObservationKind) {
	if kind == wagserver.Answered {
		at, ok := c.lastResponses.Load(server)
		if !ok {
			at, _ = c.lastResponses.LoadOrStore(server, new(atomic.Int64))
		}
		at.(*atomic.Int64).Store(c.clock.Now().UnixNano())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events.Record(wagevent.Event{Kind: wagevent.KindServer, Service: service, Server: server.String(), Detail: string(kind)})
	c.runServerCommands(c.ctx, c.servers.Handle(c.clock.Now(), wagserver.LocalObservation{Service: service, Address: server, Kind: kind}))
}

// reportRecoveredServers reports servers with observations to the list of servers
// if they respond again. c.mu must be held.
func (c *Control) reportRecoveredServers(ctx context.Context, now time.Time) {
	for _, s := range c.servers.ObservedServers() {
		at, ok := c.lastResponses.Load(s.Address)
		if ok && now.Sub(time.Unix(0, at.(*atomic.Int64).Load())) < time.Second {
			c.runServerCommands(ctx, c.servers.Handle(now, wagserver.LocalObservation{Service: s.Service, Address: s.Address, Kind: wagserver.Answered}))
		}
	}
}
