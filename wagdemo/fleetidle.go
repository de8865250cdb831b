package wagdemo

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// idleReport holds the resources that the hosts use without requests and changes.
type idleReport struct {
	Duration time.Duration
	// MeanBytesPerSecond and MaxBytesPerSecond are the mean and the maximum over the
	// hosts of the control bytes per second, both directions together.
	MeanBytesPerSecond, MaxBytesPerSecond float64
	// CoresPerHost is the CPU time per second of each host. It includes a share of the
	// stand-ins, which run in the same process.
	CoresPerHost float64
	// MemoryPerHost is the heap and stack memory in use, in bytes, divided by the number
	// of hosts.
	MemoryPerHost float64
	// StoreRequests counts the store requests of all hosts by kind.
	StoreRequests map[string]int64
	// StaleHosts names the hosts that would fail their readiness check at the end
	// because their documents are stale, although the store is reachable.
	StaleHosts []string
}

// measureIdle measures the hosts for a duration in which nothing changes.
func (f *fleet) measureIdle(ctx context.Context, duration time.Duration) error {
	bytesBefore, requestsBefore := f.controlBytes(), f.site.store.CountsByKind()
	cpuBefore, err := cpuTime()
	if err != nil {
		return err
	}
	startedAt := time.Now()
	if !wagclock.Wait(ctx, wagclock.System{}, time.Now().Add(duration)) {
		return ctx.Err()
	}
	elapsed := time.Since(startedAt)
	cpuAfter, err := cpuTime()
	if err != nil {
		return err
	}
	r := idleReport{Duration: elapsed, StoreRequests: f.site.store.CountsByKind()}
	for kind, n := range requestsBefore {
		r.StoreRequests[kind] -= n
	}
	hosts := float64(len(f.site.entryHosts))
	for i, bytes := range f.controlBytes() {
		rate := float64(bytes-bytesBefore[i]) / elapsed.Seconds()
		r.MeanBytesPerSecond += rate / hosts
		r.MaxBytesPerSecond = max(r.MaxBytesPerSecond, rate)
	}
	r.CoresPerHost = (cpuAfter - cpuBefore).Seconds() / elapsed.Seconds() / hosts
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.MemoryPerHost = float64(m.HeapInuse+m.StackInuse) / hosts
	for _, e := range f.site.entryHosts {
		if !e.host.HasFreshDocuments() {
			r.StaleHosts = append(r.StaleHosts, e.name)
		}
	}
	f.idle = r
	return nil
}

// controlBytes returns the control bytes that each host has sent and received.
func (f *fleet) controlBytes() []int64 {
	var bytes []int64
	for _, e := range f.site.entryHosts {
		read, written := e.host.ControlTraffic()
		bytes = append(bytes, read+written)
	}
	return bytes
}

// cpuTime returns the CPU time of this process.
func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.WithMessage(err, "read CPU time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
