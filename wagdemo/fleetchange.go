package wagdemo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoperator"
	"github.com/wagtailspar/wagtailspar/wagpublish"
)

// maxRolloutTime is the time within which an accepted change must be in force
// everywhere.
const maxRolloutTime = 11 * time.Second

// fleetChange is an accepted change of a document.
type fleetChange struct {
	service  string
	revision int64
	// firstAttempt is the time of the first attempt, and accepted the time when the
	// successful write was sent.
	firstAttempt, accepted time.Time
}

// makeChanges changes documents at equal intervals.
func (f *fleet) makeChanges(ctx context.Context, started time.Time, duration time.Duration) error {
	for n := range f.demo.changeCount {
		at := started.Add(duration * time.Duration(n) / time.Duration(f.demo.changeCount))
		if !wagclock.Wait(ctx, wagclock.System{}, at) {
			return ctx.Err()
		}
		text := strings.Replace(orderingDocument, "deadline = 1s", fmt.Sprintf("deadline = %dms", 1001+n), 1)
		if n%2 == 1 {
			text = strings.Replace(patternDocument, "deadline = 2s", fmt.Sprintf("deadline = %dms", 2001+n), 1)
		}
		if err := f.publish(ctx, text); err != nil {
			return err
		}
	}
	return nil
}

// publish writes a change to the store. It retries until the store accepts it.
func (f *fleet) publish(ctx context.Context, text string) error {
	c := fleetChange{firstAttempt: time.Now()}
	for {
		prepared, err := f.site.publisher.Prepare(ctx, "demo", []byte(text))
		if err == nil {
			c.accepted = time.Now()
			var result wagpublish.Result
			if result, err = f.site.publisher.Commit(ctx, prepared); err == nil {
				d := result.Document
				c.service, c.revision = d.Service.Name, d.Revision.Number
				f.changes = append(f.changes, c)
				return nil
			}
		}
		if !wagclock.Wait(ctx, wagclock.System{}, time.Now().Add(retryDelay)) {
			return errors.WithMessage(err, "change a document")
		}
	}
}

// waitInForce waits until the latest change of each service is in force everywhere,
// for at most maxRolloutTime. The report finds in the events which changes were not.
func (f *fleet) waitInForce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxRolloutTime)
	defer cancel()
	latest := make(map[string]int64)
	for _, c := range f.changes {
		latest[c.service] = c.revision
	}
	for service, revision := range latest {
		_ = wagpublish.WaitInForce(ctx, wagoperator.New(), f.site.operatorAddresses(), service, revision)
	}
	return nil
}

// revisionInForce is a revision with the time when it came into force at a host.
type revisionInForce struct {
	service  string
	revision int64
	at       time.Time
}

// revisionsInForce returns the revisions that came into force during a run of a host,
// in order.
func (h hostRun) revisionsInForce() []revisionInForce {
	var list []revisionInForce
	for _, e := range h.events {
		r := revisionInForce{service: e.Service, at: e.Time}
		if e.Kind != wagevent.KindDocument {
			continue
		}
		if _, err := fmt.Sscanf(e.Detail, "revision %d in force", &r.revision); err == nil {
			list = append(list, r)
		}
	}
	return list
}

// inForceSince returns when a change came into force during a run of a host. applies
// is false for a run that does not count. A run that had no older revision before the
// change does not count, because a host without documents is not ready and accepts no
// requests. A run without the change lags, and at is zero, unless it has ended, or it
// started after the change and had no older revision.
func (h hostRun) inForceSince(c fleetChange) (at time.Time, applies bool) {
	hadOlderRevision := false
	for _, r := range h.revisionsInForce() {
		if r.service != c.service {
			continue
		}
		if r.revision >= c.revision {
			return r.at, hadOlderRevision
		}
		hadOlderRevision = true
	}
	return time.Time{}, (hadOlderRevision || h.startedAt.Before(c.accepted)) && h.endedAt.IsZero()
}

// inForceEverywhere returns when a change came into force at the last host, and the
// hosts at which it never did.
func (f *fleet) inForceEverywhere(c fleetChange) (last time.Time, lagging []string) {
	last = c.accepted
	for _, h := range f.runs {
		at, applies := h.inForceSince(c)
		switch {
		case !applies:
		case at.IsZero():
			lagging = append(lagging, h.host)
		case at.After(last):
			last = at
		}
	}
	return last, lagging
}

// reversions describes each revision that came into force at a host after a higher one
// of the same service, in the same run or an earlier one.
func (f *fleet) reversions() []string {
	type key struct{ host, service string }
	highestRevision := make(map[key]int64)
	var violations []string
	for _, h := range f.runs {
		for _, r := range h.revisionsInForce() {
			k := key{h.host, r.service}
			if r.revision < highestRevision[k] {
				violations = append(violations, fmt.Sprintf("%s at %s: revision %d after %d", r.service, h.host, r.revision, highestRevision[k]))
			}
			highestRevision[k] = max(highestRevision[k], r.revision)
		}
	}
	return violations
}

// catchUpTimes returns how long restarted hosts had an older revision in force than
// before the restart. A host keeps no documents across a restart, and takes those that
// the first peer has in force. The rollout times include the time to catch up.
func (f *fleet) catchUpTimes() []time.Duration {
	type key struct{ host, service string }
	highestRevision := make(map[key]int64)
	var times []time.Duration
	for _, h := range f.runs {
		behindSince := make(map[string]time.Time)
		for _, r := range h.revisionsInForce() {
			k := key{h.host, r.service}
			since, behind := behindSince[r.service]
			if r.revision >= highestRevision[k] {
				if behind {
					times = append(times, r.at.Sub(since))
					delete(behindSince, r.service)
				}
				highestRevision[k] = r.revision
				continue
			}
			if !behind {
				behindSince[r.service] = r.at
			}
		}
	}
	return times
}
