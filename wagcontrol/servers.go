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
	// maxHostList bounds the answer of the host list in bytes.
	maxHostList = 16 << 20
	// hostListTime bounds one read of the host list.
	hostListTime = 5 * time.Second
)

// followHostList reads the host list until ctx ends.
func (c *Control) followHostList(ctx context.Context) error {
	for ctx.Err() == nil {
		c.readHostList(ctx)
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(c.settings.HostList.Interval))
	}
	return nil
}

func (c *Control) readHostList(ctx context.Context) {
	read := c.clock.Now()
	list, err := c.fetchHostList(ctx)
	if err != nil {
		c.log.WithError(err).Debug("the host list could not be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverList(ctx, c.list.Handle(c.clock.Now(), wagserver.HostList{ReadAt: read, Servers: list}))
}

func (c *Control) fetchHostList(ctx context.Context) (list []wagserver.Server, err error) {
	defer func() { err = errors.WithMessage(err, "read host list") }()
	ctx, cancel := context.WithTimeout(ctx, hostListTime)
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHostList)).Decode(&list)
	return list, err
}

// serverList carries out commands of the list; c.mu is held.
func (c *Control) serverList(ctx context.Context, commands []wagserver.Command) {
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
	if changed && c.view != nil {
		c.view.SetServers(c.allServers())
		c.updateLeases(ctx)
	}
}

// allServers returns the servers of all services that have a document.
func (c *Control) allServers() []wagserver.Server {
	servers := []wagserver.Server{}
	for _, name := range c.list.Services() {
		servers = append(servers, c.list.Servers(name)...)
	}
	return servers
}

// Observe takes an observation that a call showed. Answers are noted without a lock.
func (c *Control) Observe(service string, server netip.AddrPort, kind wagserver.ObservationKind) {
	if kind == wagserver.Answered {
		at, ok := c.answered.Load(server)
		if !ok {
			at, _ = c.answered.LoadOrStore(server, new(atomic.Int64))
		}
		at.(*atomic.Int64).Store(c.clock.Now().UnixNano())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events.Record(wagevent.Event{Kind: wagevent.KindServer, Service: service, Server: server.String(), Detail: string(kind)})
	c.serverList(c.ctx, c.list.Handle(c.clock.Now(), wagserver.LocalObservation{Service: service, Address: server, Kind: kind}))
}

// returned tells the list of servers with observations that answer again; c.mu is
// held.
func (c *Control) returned(ctx context.Context, now time.Time) {
	for _, s := range c.list.ObservedServers() {
		at, ok := c.answered.Load(s.Address)
		if ok && now.Sub(time.Unix(0, at.(*atomic.Int64).Load())) < time.Second {
			c.serverList(ctx, c.list.Handle(now, wagserver.LocalObservation{Service: s.Service, Address: s.Address, Kind: wagserver.Answered}))
		}
	}
}
