package wagstandin

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// HostList replaces the platform's list of live and leaving servers.
type HostList struct {
	mu sync.Mutex
	// servers is keyed by address.
	servers map[netip.AddrPort]wagserver.Server
}

// NewHostList returns a list of the given servers.
func NewHostList(servers ...wagserver.Server) *HostList {
	h := &HostList{servers: make(map[netip.AddrPort]wagserver.Server)}
	for _, s := range servers {
		h.Set(s)
	}
	return h
}

// Set adds a server, or replaces the one with its address. A server without a state is
// live.
func (h *HostList) Set(s wagserver.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.State == "" {
		s.State = wagserver.Live
	}
	h.servers[s.Address] = s
}

// Remove removes the server with the address.
func (h *HostList) Remove(a netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.servers, a)
}

// List returns all servers in no particular order.
func (h *HostList) List() []wagserver.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]wagserver.Server, 0, len(h.servers))
	for _, s := range h.servers {
		list = append(list, s)
	}
	return list
}

// Handler returns the HTTP API of the list.
func (h *HostList) Handler() http.Handler {
	e := echo.New()
	e.GET("/servers", func(c echo.Context) error { return c.JSON(http.StatusOK, h.List()) })
	e.PUT("/servers", func(c echo.Context) error {
		var s wagserver.Server
		if err := c.Bind(&s); err != nil {
			return err
		}
		h.Set(s)
		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/servers/:address", func(c echo.Context) error {
		a, err := netip.ParseAddrPort(c.Param("address"))
		if err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		h.Remove(a)
		return c.NoContent(http.StatusNoContent)
	})
	return e
}
