// Package wagdemo runs a small site in one process: the stand-ins of the
// platform, entry hosts, servers and callers. It makes faults happen, changes a
// document and reports what became of the calls.
package wagdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Defaults of the demonstration.
const (
	DefaultDuration = 10 * time.Second
	DefaultHosts    = 2
	DefaultSeed     = 1
)

// siteSettings are the settings of the hosts that serve calls.
const siteSettings = "[terms]\nkeys = demonstration-secret-key\n[host]\nreadyDelay = 0s\nstopTime = 5s\n[hostList]\ninterval = 200ms\n"

// Demo is one demonstration.
type Demo struct {
	hosts int
	seed  uint64
	time  time.Duration
	// changes is the number of changes of documents in a fleet run.
	changes int
	idle    bool
	centres []string
	// settings is the text from which the settings of the hosts are made.
	settings string
	progress io.Writer
	log      io.Writer
}

// Option sets a property of a Demo.
type Option func(*Demo)

// WithHosts sets the number of entry hosts.
func WithHosts(n int) Option { return func(d *Demo) { d.hosts = n } }

// WithSeed sets the seed of the callers' behaviour.
func WithSeed(n uint64) Option { return func(d *Demo) { d.seed = n } }

// WithDuration sets how long callers make calls.
func WithDuration(t time.Duration) Option { return func(d *Demo) { d.time = t } }

// WithProgress sets where lines of progress go.
func WithProgress(w io.Writer) Option { return func(d *Demo) { d.progress = w } }

// WithLog sets where the log lines of the entry hosts go.
func WithLog(w io.Writer) Option { return func(d *Demo) { d.log = w } }

// New returns a demonstration.
func New(opts ...Option) *Demo {
	d := &Demo{hosts: DefaultHosts, seed: DefaultSeed, time: DefaultDuration, progress: io.Discard, log: io.Discard, centres: dataCentres, settings: siteSettings}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Run runs the demonstration to its end and reports it.
func (d *Demo) Run(ctx context.Context) (r *Report, err error) {
	defer func() { err = errors.WithMessage(err, "run demonstration") }()
	s, err := newSite(d)
	if err != nil {
		return nil, err
	}
	g, gctx := errgroup.WithContext(ctx)
	stop, end := context.WithCancel(gctx)
	defer end()
	s.run(stop, g)
	g.Go(func() error {
		defer end()
		if err := s.ready(stop); err != nil {
			return err
		}
		d.say("%d entry hosts in %d data centres serve %d servers of 2 services", len(s.entries), len(s.centres), len(s.servers))
		r, err = d.play(stop, s)
		return err
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	s.audit(r)
	return r, nil
}

// play makes calls and faults for the time of the demonstration.
func (d *Demo) play(ctx context.Context, s *site) (*Report, error) {
	l := newLoad(d, s)
	started := time.Now()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.run(gctx, started.Add(d.time)) })
	g.Go(func() error { return s.script(gctx, started, d) })
	if err := g.Wait(); err != nil {
		return nil, err
	}
	s.collectEvents(ctx)
	r := l.report(s, time.Since(started))
	r.Traces = l.traces(s, started)
	return r, nil
}

func (d *Demo) say(format string, args ...any) {
	fmt.Fprintf(d.progress, "  "+format+"\n", args...)
}
