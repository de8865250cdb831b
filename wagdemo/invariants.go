package wagdemo

import (
	"fmt"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// checkInvariants compares the outcomes that callers received with what the servers
// ran.
func (l *loadGenerator) checkInvariants(s *site) []Invariant {
	runsByKey, runsByRequest, late := make(map[string]int), make(map[string]int), Invariant{Name: "a leaving server gets no new work after 5 s"}
	for _, v := range s.servers {
		log := v.Log()
		for k, n := range log.RunsByKey {
			runsByKey[k] += n
		}
		for id, n := range log.RunsByRequest {
			runsByRequest[id] += n
		}
		if log.LateRequests > 0 {
			late.Violations = append(late.Violations, fmt.Sprintf("%s got %d requests", v.name, log.LateRequests))
		}
	}
	once := Invariant{Name: "keyed work runs at most once"}
	for k, n := range runsByKey {
		if n > 1 {
			once.Violations = append(once.Violations, fmt.Sprintf("key %s ran %d times", k, n))
		}
	}
	return append([]Invariant{once}, append(l.checkOutcomes(runsByRequest), late, checkRollouts(s), s.checkHostViolations())...)
}

// checkOutcomes checks the outcomes that callers received.
func (l *loadGenerator) checkOutcomes(runsByRequest map[string]int) []Invariant {
	whole := Invariant{Name: "every answer is whole and the caller's own"}
	notRun := Invariant{Name: "told not run means that it was not run"}
	done := Invariant{Name: "told done means that it ran"}
	// A keyed request with the outcome not run is no violation if another request with
	// the same key may have run. keysRunDespiteNotRun checks these requests.
	for _, r := range l.records {
		if r.mismatched {
			whole.Violations = append(whole.Violations, "request "+r.id)
		}
		if r.outcome == wagoutcome.NotRun && runsByRequest[r.id] > 0 && r.key == "" {
			notRun.Violations = append(notRun.Violations, "request "+r.id)
		}
		if r.outcome == wagoutcome.Done && r.status == 200 && runsByRequest[r.id] == 0 {
			done.Violations = append(done.Violations, "request "+r.id)
		}
	}
	notRun.Violations = append(notRun.Violations, l.keysRunDespiteNotRun(runsByRequest)...)
	return []Invariant{whole, notRun, done}
}

// keysRunDespiteNotRun returns the keys that ran although every request with them had
// the outcome not run.
func (l *loadGenerator) keysRunDespiteNotRun(runsByRequest map[string]int) []string {
	mayHaveRun := make(map[string]bool)
	for _, r := range l.records {
		if r.key != "" && r.outcome != wagoutcome.NotRun {
			mayHaveRun[r.key] = true
		}
	}
	var violations []string
	for _, r := range l.records {
		if r.key != "" && !mayHaveRun[r.key] && runsByRequest[r.key] > 0 {
			violations = append(violations, "key "+r.key)
		}
	}
	return violations
}

// checkHostViolations checks that no host detected a violation of its own invariants.
func (s *site) checkHostViolations() Invariant {
	i := Invariant{Name: "no core of a host violates an invariant of its own"}
	for _, e := range s.entryHosts {
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

// checkRollouts checks that the changes of documents came into force on all hosts.
func checkRollouts(s *site) Invariant {
	i := Invariant{Name: "an accepted change is in force everywhere within 11 s"}
	for _, c := range s.documentChanges {
		if len(c.laggingHosts) > 0 {
			i.Violations = append(i.Violations, fmt.Sprintf("%s revision %d lags on %d hosts", c.service, c.revision, len(c.laggingHosts)))
		}
	}
	return i
}
