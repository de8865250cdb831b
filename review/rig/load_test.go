//go:build review

package rig

import (
	"fmt"
	"sync"
	"time"
)

// load sends requests at an interval from each of the entry hosts until stop is closed.
type load struct {
	rig  *rig
	stop chan struct{}
	mu   sync.Mutex
	// via holds the entry host of each request, and sentAt when it was sent.
	via    map[string]string
	sentAt map[string]time.Time
	status map[int]int
}

func (r *rig) startLoad(gateways []*gateway, method, target string, interval time.Duration, deadlineMs int) *load {
	l := &load{rig: r, stop: make(chan struct{}), via: map[string]string{}, sentAt: map[string]time.Time{}, status: map[int]int{}}
	for k, g := range gateways {
		r.group.Go(func() error {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return nil
				case <-r.ctx.Done():
					return nil
				case <-ticker.C:
				}
				id := fmt.Sprintf("%02x%014x", k, n)
				l.mu.Lock()
				l.via[id], l.sentAt[id] = g.name, time.Now()
				l.mu.Unlock()
				r.group.Go(func() error {
					a := call(g.front, head(method, target, id, deadlineMs)+"\r\n", time.Duration(deadlineMs)*time.Millisecond)
					l.mu.Lock()
					l.status[a.status]++
					l.mu.Unlock()
					return nil
				})
			}
		})
	}
	return l
}
