package wagdemo

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// idleReport is what the control of the hosts costs without calls and changes.
type idleReport struct {
	Length time.Duration
	// Bytes and MostBytes are the mean and the highest control bytes a second
	// of a host, both directions together.
	Bytes, MostBytes float64
	// Processor is the share of a core for each host; the stand-ins are counted
	// with the hosts.
	Processor float64
	// Memory is the heap in use and the stacks divided by the hosts.
	Memory float64
	// StoreCalls counts the calls of all hosts by kind.
	StoreCalls map[string]int64
	// Stale names the hosts that would fail their readiness check at the end,
	// although the store could be reached.
	Stale []string
}

// idleWindow measures the hosts while nothing changes.
func (f *fleet) idleWindow(ctx context.Context, length time.Duration) error {
	before, calls := f.traffic(), f.site.store.CountsByKind()
	processor, err := processorTime()
	if err != nil {
		return err
	}
	began := time.Now()
	if !wagclock.Wait(ctx, wagclock.System{}, time.Now().Add(length)) {
		return ctx.Err()
	}
	took := time.Since(began)
	used, err := processorTime()
	if err != nil {
		return err
	}
	r := idleReport{Length: took, StoreCalls: f.site.store.CountsByKind()}
	for kind, n := range calls {
		r.StoreCalls[kind] -= n
	}
	hosts := float64(len(f.site.entries))
	for i, bytes := range f.traffic() {
		rate := float64(bytes-before[i]) / took.Seconds()
		r.Bytes += rate / hosts
		r.MostBytes = max(r.MostBytes, rate)
	}
	r.Processor = (used - processor).Seconds() / took.Seconds() / hosts
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.Memory = float64(m.HeapInuse+m.StackInuse) / hosts
	for _, e := range f.site.entries {
		if !e.host.HasFreshDocuments() {
			r.Stale = append(r.Stale, e.name)
		}
	}
	f.idle = r
	return nil
}

// traffic returns the control bytes of each host in both directions.
func (f *fleet) traffic() []int64 {
	var bytes []int64
	for _, e := range f.site.entries {
		read, written := e.host.ControlTraffic()
		bytes = append(bytes, read+written)
	}
	return bytes
}

// processorTime returns the processor time of this process.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.WithMessage(err, "read processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
