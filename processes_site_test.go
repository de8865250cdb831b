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

// site is a small site whose hosts, servers, store and host list are processes.
type site struct {
	t         *testing.T
	directory string
	// store, hostList and the servers are stand-ins.
	store, hostList *standinProcess
	servers         map[string]*standinProcess
	hosts           map[string]*host
}

// standinProcess is a process that runs a stand-in for a part of the platform.
type standinProcess struct {
	*process
	address       string
	hostListEntry wagserver.Server
}

// host is an entry host with the addresses that it logged at its start.
type host struct {
	*process
	name, dataCentre                string
	caller, forward, peer, operator string
}

func itoa(n int) string { return strconv.Itoa(n) }

// newSite starts the stand-ins of a site. Servers are given as name/dataCentre.
func newSite(t *testing.T, servers ...string) *site {
	t.Helper()
	t.Parallel()
	s := &site{t: t, directory: t.TempDir(), servers: make(map[string]*standinProcess), hosts: make(map[string]*host)}
	s.store = s.startStandin("store", "--listen", loopback)
	s.hostList = s.startStandin("hosts", "--listen", loopback)
	for _, text := range servers {
		name, dataCentre, _ := strings.Cut(text, "/")
		server := s.startStandin("server", "--listen", loopback, "--name", name, "--slots", "4")
		server.hostListEntry = wagserver.Server{Service: "shop", DataCentre: dataCentre, Address: netip.MustParseAddrPort(server.address), State: wagserver.Live}
		s.servers[name] = server
		s.putOnHostList(server.hostListEntry)
	}
	return s
}

// startStandin starts a stand-in and reads its address.
func (s *site) startStandin(args ...string) *standinProcess {
	s.t.Helper()
	x := &standinProcess{process: start(s.t, append([]string{"standin"}, args...)...)}
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

// putOnHostList adds a server to the host list, or replaces its entry.
func (s *site) putOnHostList(server wagserver.Server) {
	s.t.Helper()
	s.sendJSON(http.MethodPut, "http://"+s.hostList.address+"/servers", server)
}

// sendJSON sends a value to a stand-in, which has to accept it.
func (s *site) sendJSON(method, address string, value any) {
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

// setStoreFaults makes the store stand-in fail in the given ways.
func (s *site) setStoreFaults(f wagstandin.StoreFaults) {
	s.t.Helper()
	s.sendJSON(http.MethodPost, "http://"+s.store.address+"/faults", f)
}

// hostSettings returns the settings of a host, with extra sections at the end.
func (s *site) hostSettings(name, dataCentre string, seeds []string, extra string) string {
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
%s`, name, dataCentre, s.store.address, s.hostList.address, strings.Join(seeds, ", "), extra)
}

// startHost starts an entry host and reads its addresses.
func (s *site) startHost(name, dataCentre string, seeds []string, extra string) *host {
	s.t.Helper()
	file := s.writeFile(name+".ini", s.hostSettings(name, dataCentre, seeds, extra))
	h := &host{process: start(s.t, "serve", "--settings", file), name: name, dataCentre: dataCentre}
	s.hosts[name] = h
	eventually(s.t, name+" logs its addresses", func() error { return h.readAddresses() })
	return h
}

// readAddresses reads the addresses from the line that the host logs at its start.
func (h *host) readAddresses() error {
	for _, text := range strings.Split(h.stderr.String(), "\n") {
		var line struct{ Msg, Caller, Forward, Peer, Operator string }
		if json.Unmarshal([]byte(text), &line) == nil && line.Msg == "entry host started" {
			h.caller, h.forward, h.peer, h.operator = line.Caller, line.Forward, line.Peer, line.Operator
			return nil
		}
	}
	return errors.New(h.stderr.String())
}

// writeFile writes a text to a file in the directory of the site and returns its path.
func (s *site) writeFile(name, text string) string {
	s.t.Helper()
	file := filepath.Join(s.directory, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// startHosts publishes the document and starts hosts, which are given as name/dataCentre.
// It returns when all are ready and know each other.
func (s *site) startHosts(hosts ...string) {
	s.t.Helper()
	s.putDocument("shop.ini", shopDocument)
	for _, text := range hosts {
		name, dataCentre, _ := strings.Cut(text, "/")
		s.startHost(name, dataCentre, nil, "")
	}
	for _, h := range s.hosts {
		s.waitReady(h)
		eventually(s.t, h.name+" knows all hosts", func() error { return h.checkMetric("wagtailspar_live_members", float64(len(hosts))) })
	}
}

// waitReady waits until a host is ready.
func (s *site) waitReady(h *host) {
	s.t.Helper()
	eventually(s.t, h.name+" is ready", func() error { return h.checkReadiness(http.StatusOK) })
}

// checkReadiness returns an error unless the readiness check of a host returns a status.
func (h *host) checkReadiness(want int) error {
	r := do(context.Background(), request{method: http.MethodGet, url: "http://" + h.operator + "/ready"})
	if r.err != nil {
		return r.err
	}
	if r.status != want {
		return errors.Errorf("status %d", r.status)
	}
	return nil
}

// checkMetric returns an error unless a metric without labels has a value.
func (h *host) checkMetric(name string, want float64) error {
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

// putDocument publishes a document with the command line and returns the output.
func (s *site) putDocument(file, text string) string {
	s.t.Helper()
	out, status := run(s.t, "document", "put", "--store", s.store.address, s.writeFile(file, text))
	if status != 0 {
		s.t.Fatal(out)
	}
	return out
}

// serviceURL returns the URL of a request to the service through a host. The parameters are
// names that are each followed by a value.
func (h *host) serviceURL(path string, parameters ...string) string {
	v := url.Values{}
	for i := 0; i < len(parameters); i += 2 {
		v.Set(parameters[i], parameters[i+1])
	}
	return "http://" + h.caller + "/shop" + path + "?" + v.Encode()
}

// get sends a request to the service and waits for the response.
func (h *host) get(path string, parameters ...string) result {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	return do(ctx, request{method: http.MethodGet, url: h.serviceURL(path, parameters...)})
}

// getWithDeadline sends a request to the service whose deadline is that far from now.
func (h *host) getWithDeadline(path string, within time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	header := http.Header{"Wagtailspar-Deadline": {time.Now().Add(within).Format(time.RFC3339Nano)}}
	return do(ctx, request{method: http.MethodGet, url: h.serviceURL(path), header: header})
}

// waitServing waits until a request through the host is done.
func (s *site) waitServing(h *host) {
	s.t.Helper()
	eventually(s.t, h.name+" serves requests", func() error {
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

// countEvents counts the events of a kind whose detail contains a text.
func (h *host) countEvents(kind wagevent.Kind, detail string) (n int, err error) {
	events, err := h.events()
	for _, e := range events {
		if e.Kind == kind && strings.Contains(e.Detail, detail) {
			n++
		}
	}
	return n, err
}

// waitForEvent waits until a host has recorded an event whose detail contains a text.
func (s *site) waitForEvent(h *host, kind wagevent.Kind, detail string) {
	s.t.Helper()
	eventually(s.t, h.name+" records the event "+detail, func() error {
		n, err := h.countEvents(kind, detail)
		if err == nil && n == 0 {
			err = errors.New("no such event")
		}
		return err
	})
}

// fetchLog returns the log of the requests that a server ran.
func (x *standinProcess) fetchLog() (l wagstandin.Log, err error) {
	r := do(context.Background(), request{method: http.MethodGet, url: "http://" + x.address + "/log"})
	if r.err != nil {
		return l, r.err
	}
	err = json.Unmarshal([]byte(r.body), &l)
	return l, err
}

// countRuns returns how often the servers that respond ran a request, and one of the servers
// that did.
func (s *site) countRuns(id string) (n int, at *standinProcess) {
	for _, server := range s.servers {
		if l, err := server.fetchLog(); err == nil && l.RunsByRequest[id] > 0 {
			n += l.RunsByRequest[id]
			at = server
		}
	}
	return n, at
}

// waitRunning waits until a server has started to run a request, and returns the server.
func (s *site) waitRunning(id string) (at *standinProcess) {
	s.t.Helper()
	eventually(s.t, "request "+id+" runs", func() error {
		var n int
		if n, at = s.countRuns(id); n == 0 {
			return errors.New("no server has run it")
		}
		return nil
	})
	return at
}

// documentStatus returns the status of the service's document at a host.
func (h *host) documentStatus() (d wagpublish.DocumentStatus, err error) {
	r := do(context.Background(), request{method: http.MethodGet, url: "http://" + h.operator + "/documents"})
	if r.err != nil {
		return d, r.err
	}
	var status wagpublish.HostStatus
	err = json.Unmarshal([]byte(r.body), &status)
	return status.FindDocument("shop"), err
}

// waitInForce waits until a host has a revision, or a later one, in force.
func (s *site) waitInForce(h *host, revision int64) {
	s.t.Helper()
	eventually(s.t, h.name+" has the revision in force", func() error {
		d, err := h.documentStatus()
		if err == nil && d.Revision < revision {
			err = errors.Errorf("revision %d, wanted %d", d.Revision, revision)
		}
		return err
	})
}

// revisionInForce returns the revision that a host has in force. There has to be one.
func (s *site) revisionInForce(h *host) int64 {
	s.t.Helper()
	d, err := h.documentStatus()
	if err != nil || d.Revision == 0 {
		s.t.Fatal(d, err)
	}
	return d.Revision
}

// findOwner returns the host that owns the server group of a data centre, and one of its
// other hosts. The names are those of the hosts in the data centre. The owner is the one
// that forwards no requests.
func (s *site) findOwner(names ...string) (owner, other *host) {
	s.t.Helper()
	for _, name := range names {
		h := s.hosts[name]
		s.waitServing(h)
		forwards, err := h.countEvents(wagevent.KindForward, "")
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
		s.t.Fatal("the hosts do not agree on an owner")
	}
	return owner, other
}
