package wagdemo

import (
	"fmt"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// invariants compares what the callers were told with what the servers ran.
func (l *load) invariants(s *site) []Invariant {
	keys, requests, late := make(map[string]int), make(map[string]int), Invariant{Name: "a leaving server gets no new work after 5 s"}
	for _, v := range s.servers {
		log := v.Log()
		for k, n := range log.RunsByKey {
			keys[k] += n
		}
		for id, n := range log.RunsByRequest {
			requests[id] += n
		}
		if log.LateRequests > 0 {
			late.Violations = append(late.Violations, fmt.Sprintf("%s got %d requests", v.name, log.LateRequests))
		}
	}
	once := Invariant{Name: "keyed work runs at most once"}
	for k, n := range keys {
		if n > 1 {
			once.Violations = append(once.Violations, fmt.Sprintf("key %s ran %d times", k, n))
		}
	}
	return append([]Invariant{once}, append(l.told(requests), late, changed(s), s.cores())...)
}

// told checks the outcomes that callers were told.
func (l *load) told(requests map[string]int) []Invariant {
	whole := Invariant{Name: "every answer is whole and the caller's own"}
	notRun := Invariant{Name: "told not run means that it was not run"}
	done := Invariant{Name: "told done means that it ran"}
	// A key that was told done once may be told anything but not run later.
	for _, r := range l.records {
		if r.foreign {
			whole.Violations = append(whole.Violations, "request "+r.id)
		}
		if r.outcome == wagoutcome.NotRun && requests[r.id] > 0 && r.key == "" {
			notRun.Violations = append(notRun.Violations, "request "+r.id)
		}
		if r.outcome == wagoutcome.Done && r.status == 200 && requests[r.id] == 0 {
			done.Violations = append(done.Violations, "request "+r.id)
		}
	}
	notRun.Violations = append(notRun.Violations, l.keyedNotRun(requests)...)
	return []Invariant{whole, notRun, done}
}

// keyedNotRun returns the keys that ran although every call with them was told
// not run.
func (l *load) keyedNotRun(requests map[string]int) []string {
	claimed := make(map[string]bool)
	for _, r := range l.records {
		if r.key != "" && r.outcome != wagoutcome.NotRun {
			claimed[r.key] = true
		}
	}
	var violations []string
	for _, r := range l.records {
		if r.key != "" && !claimed[r.key] && requests[r.key] > 0 {
			violations = append(violations, "key "+r.key)
		}
	}
	return violations
}

// cores checks that no host counted a violation by its cores.
func (s *site) cores() Invariant {
	i := Invariant{Name: "no core of a host violates an invariant of its own"}
	for _, e := range s.entries {
		counts, err := e.host.Violations()
		if err != nil {
			i.Violations = append(i.Violations, fmt.Sprintf("%s: %s", e.name, err))
		}
		for name, n := range counts {
			i.Violations = append(i.Violations, fmt.Sprintf("%s: %s violated %d times", e.name, name, n))
		}
	}
	return i
}

// changed checks that changes of documents are in force everywhere.
func changed(s *site) Invariant {
	i := Invariant{Name: "an accepted change is in force everywhere within 11 s"}
	for _, c := range s.changes {
		if len(c.lagging) > 0 {
			i.Violations = append(i.Violations, fmt.Sprintf("%s revision %d lags on %d hosts", c.service, c.revision, len(c.lagging)))
		}
	}
	return i
}
