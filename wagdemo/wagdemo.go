// Package wagdemo runs a small site in one process: stand-ins for the platform, entry
// hosts, servers and callers. It injects faults, changes a document and reports the
// outcomes of the requests.
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
	// DefaultDuration is how long callers send requests.
	DefaultDuration = 10 * time.Second
	DefaultHosts    = 2
	DefaultSeed     = 1
)

// hostSettings is the INI text of the settings of entry hosts, except in a fleet run.
const hostSettings = "[terms]\nkeys = demonstration-secret-key\n[host]\nreadyDelay = 0s\nstopTime = 5s\n[hostList]\ninterval = 200ms\n"

// Demo is a demonstration.
type Demo struct {
	hosts    int
	seed     uint64
	duration time.Duration
	// changeCount is the number of document changes in a fleet run.
	changeCount int
	// idleOnly leaves out the changes, restarts and outages of a fleet run.
	idleOnly    bool
	dataCentres []string
	// settings is the INI text that the settings of all entry hosts are parsed from.
	settings string
	progress io.Writer
	log      io.Writer
}

// Option sets a property of a Demo.
type Option func(*Demo)

// WithHosts sets the number of entry hosts.
func WithHosts(n int) Option { return func(d *Demo) { d.hosts = n } }

// WithSeed sets the seed for the random choices of the callers.
func WithSeed(n uint64) Option { return func(d *Demo) { d.seed = n } }

// WithDuration sets how long callers send requests. In a fleet run, which has no
// callers, it sets how long the hosts are idle and documents change.
func WithDuration(duration time.Duration) Option { return func(d *Demo) { d.duration = duration } }

// WithProgress sets where progress lines are written.
func WithProgress(w io.Writer) Option { return func(d *Demo) { d.progress = w } }

// WithLog sets where the log lines of the entry hosts are written.
func WithLog(w io.Writer) Option { return func(d *Demo) { d.log = w } }

// New returns a demonstration.
func New(opts ...Option) *Demo {
	d := &Demo{hosts: DefaultHosts, seed: DefaultSeed, duration: DefaultDuration, progress: io.Discard, log: io.Discard, dataCentres: defaultDataCentres, settings: hostSettings}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Run runs the demonstration and returns its report.
func (d *Demo) Run(ctx context.Context) (r *Report, err error) {
	defer func() { err = errors.WithMessage(err, "run demonstration") }()
	s, err := newSite(d)
	if err != nil {
		return nil, err
	}
	g, gctx := errgroup.WithContext(ctx)
	runCtx, cancel := context.WithCancel(gctx)
	defer cancel()
	s.startAll(runCtx, g)
	g.Go(func() error {
		defer cancel()
		if err := s.publishAndWaitReady(runCtx); err != nil {
			return err
		}
		d.printProgress("%d entry hosts in %d data centres serve %d servers of 2 services", len(s.entryHosts), len(s.dataCentres), len(s.servers))
		r, err = d.runScenario(runCtx, s)
		return err
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	s.addProbes(r)
	return r, nil
}

// runScenario sends requests and injects faults for the duration of the
// demonstration.
func (d *Demo) runScenario(ctx context.Context, s *site) (*Report, error) {
	generator := newLoadGenerator(d, s)
	started := time.Now()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return generator.run(gctx, started.Add(d.duration)) })
	g.Go(func() error { return s.runScript(gctx, started, d) })
	if err := g.Wait(); err != nil {
		return nil, err
	}
	s.collectEvents(ctx)
	r := generator.report(s, time.Since(started))
	r.Traces = generator.traces(s, started)
	return r, nil
}

func (d *Demo) printProgress(format string, args ...any) {
	fmt.Fprintf(d.progress, "  "+format+"\n", args...)
}
