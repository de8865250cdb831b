package wagclaim

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

var epoch = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func testKey(n byte) Key {
	return Key{Digest: Digest{n}, CreatedAt: epoch}
}

func submit(attempt uint64, n byte) Submit {
	return Submit{AttemptID: attempt, Key: testKey(n), Fingerprint: Digest{n, 1}, Deadline: epoch.Add(5 * time.Second)}
}

// only returns the single command of one step.
func only(t *testing.T, commands []Command) Command {
	t.Helper()
	if len(commands) != 1 {
		t.Fatalf("commands %#v", commands)
	}
	return commands[0]
}

// owner returns a partition that is ready, and the version of its head.
func owner(t *testing.T, value []byte) *Partition {
	t.Helper()
	p := New("orders", 1, "a")
	l := only(t, p.Step(epoch, LeaseAcquired{Deadline: epoch.Add(10 * time.Second)}, nil)).(Load)
	loaded := Loaded{Name: l.Name, Value: value}
	if value != nil {
		loaded.Version = "v0"
	}
	w := only(t, p.Step(epoch, loaded, nil)).(Write)
	p.Step(epoch, Written{Sequence: w.Sequence, Version: "v1"}, nil)
	if !p.IsReady(epoch) {
		t.Fatal("partition is not ready")
	}
	return p
}

// Guards against a dispatch before the claim is durable, and against a second
// run for a repeat.
func TestClaimIsDurableBeforeOneDispatch(t *testing.T) {
	is := is.New(t)
	p := owner(t, nil)
	w := only(t, p.Step(epoch, submit(1, 7), nil)).(Write)
	is.Equal(string(w.Expected), "v1")
	is.Equal(len(p.Step(epoch, submit(2, 7), nil)), 0)
	d := only(t, p.Step(epoch, Written{Sequence: w.Sequence, Version: "v2"}, nil)).(Dispatch)
	is.Equal(d.AttemptID, uint64(1))
	done := p.Step(epoch, DispatchFinished{Key: d.Key, Outcome: wagoutcome.Done, Status: 200, Body: []byte("x")}, nil)
	is.Equal(len(done), 2)
	repeat := only(t, p.Step(epoch, submit(3, 7), nil)).(Response)
	is.Equal(repeat.Outcome, wagoutcome.Done)
	is.Equal(string(repeat.Body), "x")
	other := submit(4, 7)
	other.Fingerprint = Digest{9}
	is.Equal(only(t, p.Step(epoch, other, nil)).(Response).Reason, wagoutcome.ReasonKeyReused)
}

// Guards against a new owner that runs a claim which the former owner may have
// dispatched.
func TestNewOwnerLeavesOpenClaimsUnknown(t *testing.T) {
	is := is.New(t)
	o := &Object{Writer: "b", Sequence: 3, Records: []Record{{Key: Digest{7}, Fingerprint: Digest{7, 1}, State: Open, ClaimedAt: epoch}}}
	p := owner(t, o.AppendTo(nil))
	a := only(t, p.Step(epoch, submit(1, 7), nil)).(Response)
	is.Equal(a.Outcome, wagoutcome.Unknown)
	is.True(!a.MayResubmit)
}

// Guards against a claim that is lost, or claimed twice, when the answer of its
// write is lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	for _, applied := range []bool{true, false} {
		is := is.New(t)
		p := owner(t, nil)
		w := only(t, p.Step(epoch, submit(1, 7), nil)).(Write)
		l := only(t, p.Step(epoch, WriteUnknown{Sequence: w.Sequence}, nil)).(Load)
		if applied {
			_, ok := only(t, p.Step(epoch, Loaded{Name: l.Name, Value: w.Value, Version: "v2"}, nil)).(Dispatch)
			is.True(ok)
			continue
		}
		is.Equal(len(p.Step(epoch, Loaded{Name: l.Name, Value: nil, Version: "v1"}, nil)), 0)
		again := only(t, p.Step(epoch.Add(storeWait), Tick{}, nil)).(Write)
		is.Equal(again, w)
	}
}

// Guards against a dispatch after the lease, and against an attempt that was
// told not-run and is sent nevertheless.
func TestDispatchStaysInsideLease(t *testing.T) {
	is := is.New(t)
	p := owner(t, nil)
	s := submit(1, 7)
	s.Deadline = epoch.Add(time.Hour)
	w := only(t, p.Step(epoch, s, nil)).(Write)
	d := only(t, p.Step(epoch, Written{Sequence: w.Sequence, Version: "v2"}, nil)).(Dispatch)
	late := epoch.Add(10 * time.Second)
	is.True(!d.CanSend(late))
	a := only(t, p.Step(late, DispatchNotSent{Key: d.Key}, nil)).(Response)
	is.Equal(a.Outcome, wagoutcome.NotRun)
	a = only(t, p.Step(late, s, nil)).(Response)
	is.Equal(a.Outcome, wagoutcome.Unknown)
	is.True(a.MayResubmit)
}

// Guards against a former owner that stops the present one after a pause (found
// by explore, seed 1461, all faults, 20000 steps).
func TestFenceNeedsTheLease(t *testing.T) {
	is := is.New(t)
	p := New("orders", 1, "a")
	l := only(t, p.Step(epoch, LeaseAcquired{Deadline: epoch.Add(10 * time.Second)}, nil)).(Load)
	late := epoch.Add(10 * time.Second)
	is.Equal(len(p.Step(late, Loaded{Name: l.Name}, nil)), 0)
	p.Step(late, LeaseRenewed{Deadline: late.Add(10 * time.Second)}, nil)
	late = late.Add(time.Second)
	_, ok := only(t, p.Step(late, Tick{}, nil)).(Load)
	is.True(ok)
}

// Guards against false answers while the store is down.
func TestStoreDownRefusesNewKeysOnly(t *testing.T) {
	is := is.New(t)
	p := owner(t, nil)
	w := only(t, p.Step(epoch, submit(1, 7), nil)).(Write)
	d := only(t, p.Step(epoch, Written{Sequence: w.Sequence, Version: "v2"}, nil)).(Dispatch)
	w = only(t, p.Step(epoch, submit(2, 8), nil)).(Write)
	a := only(t, p.Step(epoch, WriteFailed{Sequence: w.Sequence}, nil)).(Response)
	is.Equal(a.Outcome, wagoutcome.NotRun)
	is.Equal(only(t, p.Step(epoch, submit(3, 9), nil)).(Response).Reason, wagoutcome.ReasonStoreUnavailable)
	p.Step(epoch, DispatchFinished{Key: d.Key, Outcome: wagoutcome.Done, Status: 200}, nil)
	is.Equal(only(t, p.Step(epoch, submit(4, 7), nil)).(Response).Outcome, wagoutcome.Done)
}

// Guards against a repeat that runs again once its claim was forgotten.
func TestForgottenKeyIsNeverNew(t *testing.T) {
	is := is.New(t)
	p := owner(t, nil)
	later := epoch.Add(DefaultRetention)
	p.Step(later, LeaseRenewed{Deadline: later.Add(10 * time.Second)}, nil)
	s := submit(1, 7)
	s.Deadline = later.Add(time.Second)
	is.Equal(only(t, p.Step(later, s, nil)).(Response).Outcome, wagoutcome.Unknown)
}

// Guards against heads that grow past what one write can carry, and against
// claims that are lost with an archive.
func TestSettledClaimsMoveToArchives(t *testing.T) {
	is := is.New(t)
	p := New("orders", 1, "a", WithArchiveThreshold(2048))
	st := newFakeStore()
	st.run(p, epoch, p.Step(epoch, LeaseAcquired{Deadline: epoch.Add(time.Minute)}, nil))
	for n := range 200 {
		now := epoch.Add(time.Duration(n) * time.Millisecond)
		s := submit(uint64(n), byte(n))
		s.Deadline = epoch.Add(time.Minute)
		st.run(p, now, p.Step(now, s, nil))
	}
	is.True(len(p.archives) > 1)
	is.True(len(st.objects["claims/orders/1/head"]) < 3*2048)
	q := New("orders", 1, "b")
	now := epoch.Add(2 * time.Minute)
	st.run(q, now, q.Step(now, LeaseAcquired{Deadline: now.Add(time.Minute)}, nil))
	is.True(q.IsReady(now))
	is.Equal(q.Stats().Remembered, 200)
	for range 3 {
		now = now.Add(DefaultRetention)
		q.Step(now, LeaseRenewed{Deadline: now.Add(time.Minute)}, nil)
		st.run(q, now, q.Step(now, Tick{}, nil))
	}
	is.Equal(q.Stats().Remembered, 0)
	is.Equal(len(st.objects), 1)
}

// Guards against recorded answers that take unbounded memory.
func TestRecordedBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	p := New("orders", 1, "a")
	st := newFakeStore()
	st.body = make([]byte, MaxBodyBytes)
	st.run(p, epoch, p.Step(epoch, LeaseAcquired{Deadline: epoch.Add(time.Minute)}, nil))
	const calls = maxBodies/MaxBodyBytes + 10
	for n := range calls {
		s := Submit{AttemptID: uint64(n), Key: Key{Digest: numberedKey(n), CreatedAt: epoch}, Deadline: epoch.Add(time.Minute)}
		st.run(p, epoch, p.Step(epoch, s, nil))
	}
	repeat := Submit{AttemptID: calls, Key: Key{Digest: numberedKey(calls - 1), CreatedAt: epoch}}
	a := only(t, p.Step(epoch, repeat, nil)).(Response)
	is.Equal(a.Outcome, wagoutcome.Done)
	is.True(!a.BodyKept)
	is.Equal(p.bodies, maxBodies)
	later := epoch.Add(2 * DefaultRetention)
	p.Step(later, Tick{}, nil)
	is.Equal(p.bodies, 0)
}

// Guards against issued keys that run twice or at another incarnation.
func TestIssuedKeyRunsOnceAtItsIssuer(t *testing.T) {
	is := is.New(t)
	secrets := Secrets{[]byte("one")}
	a, b := NewIssuer("a-1", secrets, time.Hour, 10), NewIssuer("a-2", secrets, time.Hour, 10)
	k, err := secrets.Verify(a.Issue(epoch))
	is.NoErr(err)
	d := only(t, a.Submit(epoch, k, submit(1, 7), nil)).(Dispatch)
	is.Equal(only(t, b.Submit(epoch, k, submit(1, 7), nil)).(Response).Outcome, wagoutcome.Unknown)
	is.Equal(len(a.Submit(epoch, k, submit(2, 7), nil)), 0)
	is.Equal(len(a.FinishDispatch(DispatchFinished{Key: d.Key, Outcome: wagoutcome.Done, Status: 200}, nil)), 2)
	is.Equal(only(t, a.Submit(epoch, k, submit(3, 7), nil)).(Response).Outcome, wagoutcome.Done)
	expired := epoch.Add(2 * time.Hour)
	is.Equal(only(t, a.Submit(expired, k, submit(4, 7), nil)).(Response).Outcome, wagoutcome.Unknown)
	_, err = secrets.Verify(strings.Replace(a.Issue(epoch), "a-1", "a-3", 1))
	is.True(err != nil)
}
