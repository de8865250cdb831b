//go:build linux

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagstandin"
)

const loopback = "127.0.0.1:0"

const shopDocument = `[service]
name = shop
slots = 4
deadline = 20s
rampTime = 0s

[route "read"]
method = GET
path = /read/*
repeatable = true

[route "once"]
path = /once/*

[route "order"]
method = POST
path = /orders
keyed = true

[terms]
rate = 100000
burst = 100000
maxRate = 100000
maxBurst = 100000

[retries]
share = 1

[errors]
notRunHeader = Not-Run
`

// site is a small installation of real processes.
type site struct {
	t         *testing.T
	directory string
	// store, list and the servers are stand-ins.
	store, list *standin
	servers     map[string]*standin
	hosts       map[string]*host
}

// standin is a process that stands for a part of the platform.
type standin struct {
	*process
	address string
	listing wagserver.Server
}

// host is an entry host with the addresses of its start line.
type host struct {
	*process
	name, dataCentre                string
	caller, forward, peer, operator string
}

func itoa(n int) string { return strconv.Itoa(n) }

// newSite starts the stand-ins. A server is written as name/dataCentre.
func newSite(t *testing.T, servers ...string) *site {
	t.Helper()
	t.Parallel()
	s := &site{t: t, directory: t.TempDir(), servers: make(map[string]*standin), hosts: make(map[string]*host)}
	s.store = s.standin("store", "--listen", loopback)
	s.list = s.standin("hosts", "--listen", loopback)
	for _, text := range servers {
		name, centre, _ := strings.Cut(text, "/")
		server := s.standin("server", "--listen", loopback, "--name", name, "--slots", "4")
		server.listing = wagserver.Server{Service: "shop", DataCentre: centre, Address: netip.MustParseAddrPort(server.address), State: wagserver.Live}
		s.servers[name] = server
		s.announce(server.listing)
	}
	return s
}

// standin starts a stand-in and reads its address.
func (s *site) standin(args ...string) *standin {
	s.t.Helper()
	x := &standin{process: start(s.t, append([]string{"standin"}, args...)...)}
	eventually(s.t, "the stand-in listens", func() error {
		line, _, whole := strings.Cut(x.stdout.String(), "\n")
		address, ok := strings.CutPrefix(line, "listening on ")
		if !whole || !ok {
			return errors.New(line + x.stderr.String())
		}
		x.address = address
		return nil
	})
	return x
}

// announce puts a server on the host list.
func (s *site) announce(server wagserver.Server) {
	s.t.Helper()
	s.send(http.MethodPut, "http://"+s.list.address+"/servers", server)
}

// send makes a request of the platform, which has to succeed.
func (s *site) send(method, address string, value any) {
	s.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	r := do(context.Background(), request{method: method, url: address, header: http.Header{"Content-Type": {"application/json"}}, body: bytes.NewReader(text)})
	if r.err != nil || r.status >= 300 {
		s.t.Fatalf("%s %s: status %d, %v", method, address, r.status, r.err)
	}
}

// storeFaults sets the faults of the store.
func (s *site) storeFaults(f wagstandin.StoreFaults) {
	s.t.Helper()
	s.send(http.MethodPost, "http://"+s.store.address+"/faults", f)
}

// settings returns the settings of a host, to which extra sections may be added.
func (s *site) settings(name, centre string, seeds []string, extra string) string {
	return fmt.Sprintf(`[host]
name = %s
dataCentre = %s
readyDelay = 200ms
stopTime = 60s
[listen]
caller = 127.0.0.1:0
forward = 127.0.0.1:0
peer = 127.0.0.1:0
operator = 127.0.0.1:0
[store]
address = %s
timeout = 1s
watchWait = 1s
[hostList]
address = %s
interval = 100ms
[peers]
seeds = %s
[terms]
keys = secret-key-of-the-tests
[log]
format = json
%s`, name, centre, s.store.address, s.list.address, strings.Join(seeds, ", "), extra)
}

// startHost starts an entry host and reads its addresses.
func (s *site) startHost(name, centre string, seeds []string, extra string) *host {
	s.t.Helper()
	file := s.write(name+".ini", s.settings(name, centre, seeds, extra))
	h := &host{process: start(s.t, "serve", "--settings", file), name: name, dataCentre: centre}
	s.hosts[name] = h
	eventually(s.t, name+" tells its addresses", func() error { return h.readStart() })
	return h
}

// readStart reads the addresses of the start line.
func (h *host) readStart() error {
	for _, line := range strings.Split(h.stderr.String(), "\n") {
		var start struct{ Msg, Caller, Forward, Peer, Operator string }
		if json.Unmarshal([]byte(line), &start) == nil && start.Msg == "entry host started" {
			h.caller, h.forward, h.peer, h.operator = start.Caller, start.Forward, start.Peer, start.Operator
			return nil
		}
	}
	return errors.New(h.stderr.String())
}

func (s *site) write(name, text string) string {
	s.t.Helper()
	file := filepath.Join(s.directory, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// start publishes the document and starts hosts, written as name/dataCentre. It
// returns when all are ready and know each other.
func (s *site) start(hosts ...string) {
	s.t.Helper()
	s.put("shop.ini", shopDocument)
	for _, text := range hosts {
		name, centre, _ := strings.Cut(text, "/")
		s.startHost(name, centre, nil, "")
	}
	for _, h := range s.hosts {
		s.ready(h)
		eventually(s.t, h.name+" knows the others", func() error { return h.metric("wagtailspar_live_members", float64(len(hosts))) })
	}
}

func (s *site) ready(h *host) {
	s.t.Helper()
	eventually(s.t, h.name+" is ready", func() error { return h.readiness(http.StatusOK) })
}

func (h *host) readiness(want int) error {
	r := do(context.Background(), request{method: http.MethodGet, url: "http://" + h.operator + "/ready"})
	if r.err != nil {
		return r.err
	}
	if r.status != want {
		return errors.Errorf("status %d", r.status)
	}
	return nil
}

// metric checks the value of a metric without labels.
func (h *host) metric(name string, want float64) error {
	r := do(context.Background(), request{method: http.MethodGet, url: "http://" + h.operator + "/metrics"})
	for _, line := range strings.Split(r.body, "\n") {
		text, ok := strings.CutPrefix(line, name+" ")
		if !ok {
			continue
		}
		if v, err := strconv.ParseFloat(text, 64); err != nil || v != want {
			return errors.Errorf("%s is %s, wanted %v", name, text, want)
		}
		return nil
	}
	return errors.Errorf("no metric %s (%v)", name, r.err)
}

// put publishes a document by the command line.
func (s *site) put(file, text string) string {
	s.t.Helper()
	out, status := run(s.t, "document", "put", "--store", s.store.address, s.write(file, text))
	if status != 0 {
		s.t.Fatal(out)
	}
	return out
}

// query returns the URL of a call of the service.
func (h *host) query(path string, parameters ...string) string {
	v := url.Values{}
	for i := 0; i < len(parameters); i += 2 {
		v.Set(parameters[i], parameters[i+1])
	}
	return "http://" + h.caller + "/shop" + path + "?" + v.Encode()
}

// get calls the service and waits for the answer.
func (h *host) get(path string, parameters ...string) result {
	ctx, cancel := context.WithTimeout(context.Background(), eventTime)
	defer cancel()
	return do(ctx, request{method: http.MethodGet, url: h.query(path, parameters...)})
}

// deadline calls the service with a deadline that far from now.
func (h *host) deadline(path string, within time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), eventTime)
	defer cancel()
	header := http.Header{"Wagtailspar-Deadline": {time.Now().Add(within).Format(time.RFC3339Nano)}}
	return do(ctx, request{method: http.MethodGet, url: h.query(path), header: header})
}

// serves waits until a call through the host is done.
func (s *site) serves(h *host) {
	s.t.Helper()
	eventually(s.t, h.name+" serves calls", func() error {
		if r := h.get("/read/x"); r.err != nil || r.outcome != "done" {
			return errors.Errorf("%+v", r)
		}
		return nil
	})
}

// events returns the events of a host.
func (h *host) events() ([]wagevent.Event, error) {
	var all []wagevent.Event
	for after := uint64(0); ; {
		r := do(context.Background(), request{method: http.MethodGet, url: fmt.Sprintf("http://%s/events?after=%d", h.operator, after)})
		var page struct {
			Next   uint64
			Events []wagevent.Event
		}
		if r.err != nil {
			return nil, r.err
		}
		if err := json.Unmarshal([]byte(r.body), &page); err != nil {
			return nil, err
		}
		all = append(all, page.Events...)
		if len(page.Events) == 0 {
			return all, nil
		}
		after = page.Next
	}
}

// count counts the events of a kind whose detail contains a text.
func (h *host) count(kind wagevent.Kind, detail string) (n int, err error) {
	events, err := h.events()
	for _, e := range events {
		if e.Kind == kind && strings.Contains(e.Detail, detail) {
			n++
		}
	}
	return n, err
}

// shows waits for an event of a host.
func (s *site) shows(h *host, kind wagevent.Kind, detail string) {
	s.t.Helper()
	eventually(s.t, h.name+" shows "+detail, func() error {
		n, err := h.count(kind, detail)
		if err == nil && n == 0 {
			err = errors.New("no such event")
		}
		return err
	})
}

// log returns what a server ran.
func (x *standin) log() (l wagstandin.Log, err error) {
	r := do(context.Background(), request{method: http.MethodGet, url: "http://" + x.address + "/log"})
	if r.err != nil {
		return l, r.err
	}
	err = json.Unmarshal([]byte(r.body), &l)
	return l, err
}

// runs returns how often all servers that answer ran a request.
func (s *site) runs(id string) (n int, at *standin) {
	for _, server := range s.servers {
		if l, err := server.log(); err == nil && l.RunsByRequest[id] > 0 {
			n += l.RunsByRequest[id]
			at = server
		}
	}
	return n, at
}

// running waits until a server runs a request, and returns the server.
func (s *site) running(id string) (at *standin) {
	s.t.Helper()
	eventually(s.t, "request "+id+" runs", func() error {
		var n int
		if n, at = s.runs(id); n == 0 {
			return errors.New("it does not")
		}
		return nil
	})
	return at
}

// documents returns what a host has in force.
func (h *host) document() (d wagpublish.DocumentStatus, err error) {
	r := do(context.Background(), request{method: http.MethodGet, url: "http://" + h.operator + "/documents"})
	if r.err != nil {
		return d, r.err
	}
	var status wagpublish.HostStatus
	err = json.Unmarshal([]byte(r.body), &status)
	return status.FindDocument("shop"), err
}

// inForce waits until a host has at least a revision in force.
func (s *site) inForce(h *host, revision int64) {
	s.t.Helper()
	eventually(s.t, h.name+" has the revision in force", func() error {
		d, err := h.document()
		if err == nil && d.Revision < revision {
			err = errors.Errorf("revision %d, wanted %d", d.Revision, revision)
		}
		return err
	})
}

// revision returns what a host has in force; there has to be one.
func (s *site) revision(h *host) int64 {
	s.t.Helper()
	d, err := h.document()
	if err != nil || d.Revision == 0 {
		s.t.Fatal(d, err)
	}
	return d.Revision
}

// owner returns the host that owns the group of the data centre's servers, and
// one of the others.
func (s *site) owner(names ...string) (owner, other *host) {
	s.t.Helper()
	for _, name := range names {
		h := s.hosts[name]
		s.serves(h)
		forwards, err := h.count(wagevent.KindForward, "")
		if err != nil {
			s.t.Fatal(err)
		}
		if forwards == 0 {
			owner = h
			continue
		}
		other = h
	}
	if owner == nil || other == nil {
		s.t.Fatal("the hosts have no common owner")
	}
	return owner, other
}
