package wagclaim

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

var testTime = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

// testKey returns a key with digest n that was created at testTime.
func testKey(n byte) Key {
	return Key{Digest: Digest{n}, CreatedAt: testTime}
}

// submit returns an attempt with key n and a deadline of 5 s.
func submit(attemptID uint64, n byte) Submit {
	return Submit{AttemptID: attemptID, Key: testKey(n), Fingerprint: Digest{n, 1}, Deadline: testTime.Add(5 * time.Second)}
}

// onlyCommand returns the only command of a step and fails the test otherwise.
func onlyCommand(t *testing.T, commands []Command) Command {
	t.Helper()
	if len(commands) != 1 {
		t.Fatalf("step returned not one command: %#v", commands)
	}
	return commands[0]
}

// readyPartition returns a partition that has taken over a head with the given
// value. The head's version is v1.
func readyPartition(t *testing.T, value []byte) *Partition {
	t.Helper()
	p := New("orders", 1, "a")
	l := onlyCommand(t, p.Step(testTime, LeaseAcquired{Deadline: testTime.Add(10 * time.Second)}, nil)).(Load)
	loaded := Loaded{Name: l.Name, Value: value}
	if value != nil {
		loaded.Version = "v0"
	}
	w := onlyCommand(t, p.Step(testTime, loaded, nil)).(Write)
	p.Step(testTime, Written{Sequence: w.Sequence, Version: "v1"}, nil)
	if !p.IsReady(testTime) {
		t.Fatal("partition is not ready")
	}
	return p
}

// Guards against a dispatch before the claim is durable, and against a repeat
// that runs the request again.
func TestClaimIsDurableBeforeDispatch(t *testing.T) {
	is := is.New(t)
	p := readyPartition(t, nil)
	w := onlyCommand(t, p.Step(testTime, submit(1, 7), nil)).(Write)
	is.Equal(string(w.Expected), "v1")
	is.Equal(len(p.Step(testTime, submit(2, 7), nil)), 0)
	d := onlyCommand(t, p.Step(testTime, Written{Sequence: w.Sequence, Version: "v2"}, nil)).(Dispatch)
	is.Equal(d.AttemptID, uint64(1))
	done := p.Step(testTime, DispatchFinished{Key: d.Key, Outcome: wagoutcome.Done, Status: 200, Body: []byte("x")}, nil)
	is.Equal(len(done), 2)
	repeat := onlyCommand(t, p.Step(testTime, submit(3, 7), nil)).(Response)
	is.Equal(repeat.Outcome, wagoutcome.Done)
	is.Equal(string(repeat.Body), "x")
	other := submit(4, 7)
	other.Fingerprint = Digest{9}
	is.Equal(onlyCommand(t, p.Step(testTime, other, nil)).(Response).Reason, wagoutcome.ReasonKeyReused)
}

// Guards against a new owner that runs the request of a claim which the former
// owner may have dispatched.
func TestNewOwnerLeavesOpenClaimsUnknown(t *testing.T) {
	is := is.New(t)
	o := &Object{Writer: "b", Sequence: 3, Records: []Record{{Key: Digest{7}, Fingerprint: Digest{7, 1}, State: Open, ClaimedAt: testTime}}}
	p := readyPartition(t, o.AppendTo(nil))
	r := onlyCommand(t, p.Step(testTime, submit(1, 7), nil)).(Response)
	is.Equal(r.Outcome, wagoutcome.Unknown)
	is.True(!r.MayResubmit)
}

// Guards against a claim that is lost or written twice when the reply to its
// write is lost.
func TestUnknownWriteIsReadBack(t *testing.T) {
	for _, applied := range []bool{true, false} {
		is := is.New(t)
		p := readyPartition(t, nil)
		w := onlyCommand(t, p.Step(testTime, submit(1, 7), nil)).(Write)
		l := onlyCommand(t, p.Step(testTime, WriteUnknown{Sequence: w.Sequence}, nil)).(Load)
		if applied {
			_, ok := onlyCommand(t, p.Step(testTime, Loaded{Name: l.Name, Value: w.Value, Version: "v2"}, nil)).(Dispatch)
			is.True(ok)
			continue
		}
		is.Equal(len(p.Step(testTime, Loaded{Name: l.Name, Value: nil, Version: "v1"}, nil)), 0)
		again := onlyCommand(t, p.Step(testTime.Add(storeRetryDelay), Tick{}, nil)).(Write)
		is.Equal(again, w)
	}
}

// Guards against a dispatch after the end of the lease, and against a not-run
// response to an attempt that another host may run.
func TestDispatchStaysInsideLease(t *testing.T) {
	is := is.New(t)
	p := readyPartition(t, nil)
	s := submit(1, 7)
	s.Deadline = testTime.Add(time.Hour)
	w := onlyCommand(t, p.Step(testTime, s, nil)).(Write)
	d := onlyCommand(t, p.Step(testTime, Written{Sequence: w.Sequence, Version: "v2"}, nil)).(Dispatch)
	late := testTime.Add(10 * time.Second)
	is.True(!d.CanSend(late))
	r := onlyCommand(t, p.Step(late, DispatchNotSent{Key: d.Key}, nil)).(Response)
	is.Equal(r.Outcome, wagoutcome.NotRun)
	r = onlyCommand(t, p.Step(late, s, nil)).(Response)
	is.Equal(r.Outcome, wagoutcome.Unknown)
	is.True(r.MayResubmit)
}

// Guards against a former owner that fences off the current one after a pause
// (found by explore, seed 1461, all faults, 20000 steps).
func TestFencingRequiresLease(t *testing.T) {
	is := is.New(t)
	p := New("orders", 1, "a")
	l := onlyCommand(t, p.Step(testTime, LeaseAcquired{Deadline: testTime.Add(10 * time.Second)}, nil)).(Load)
	late := testTime.Add(10 * time.Second)
	is.Equal(len(p.Step(late, Loaded{Name: l.Name}, nil)), 0)
	p.Step(late, LeaseRenewed{Deadline: late.Add(10 * time.Second)}, nil)
	late = late.Add(time.Second)
	_, ok := onlyCommand(t, p.Step(late, Tick{}, nil)).(Load)
	is.True(ok)
}

// Guards against wrong responses while the store is down: new keys are refused,
// recorded responses are still returned.
func TestStoreOutageRefusesNewKeysOnly(t *testing.T) {
	is := is.New(t)
	p := readyPartition(t, nil)
	w := onlyCommand(t, p.Step(testTime, submit(1, 7), nil)).(Write)
	d := onlyCommand(t, p.Step(testTime, Written{Sequence: w.Sequence, Version: "v2"}, nil)).(Dispatch)
	w = onlyCommand(t, p.Step(testTime, submit(2, 8), nil)).(Write)
	r := onlyCommand(t, p.Step(testTime, WriteFailed{Sequence: w.Sequence}, nil)).(Response)
	is.Equal(r.Outcome, wagoutcome.NotRun)
	is.Equal(onlyCommand(t, p.Step(testTime, submit(3, 9), nil)).(Response).Reason, wagoutcome.ReasonStoreUnavailable)
	p.Step(testTime, DispatchFinished{Key: d.Key, Outcome: wagoutcome.Done, Status: 200}, nil)
	is.Equal(onlyCommand(t, p.Step(testTime, submit(4, 7), nil)).(Response).Outcome, wagoutcome.Done)
}

// Guards against a repeat that runs the request again because its claim has
// expired.
func TestForgottenKeyIsNeverNew(t *testing.T) {
	is := is.New(t)
	p := readyPartition(t, nil)
	later := testTime.Add(DefaultRetention)
	p.Step(later, LeaseRenewed{Deadline: later.Add(10 * time.Second)}, nil)
	s := submit(1, 7)
	s.Deadline = later.Add(time.Second)
	is.Equal(onlyCommand(t, p.Step(later, s, nil)).(Response).Outcome, wagoutcome.Unknown)
}

// Guards against heads that grow beyond what a write can carry, and against
// claims that get lost with an archive.
func TestSettledClaimsMoveToArchives(t *testing.T) {
	is := is.New(t)
	p := New("orders", 1, "a", WithArchiveThreshold(2048))
	st := newFakeStore()
	st.run(p, testTime, p.Step(testTime, LeaseAcquired{Deadline: testTime.Add(time.Minute)}, nil))
	for n := range 200 {
		now := testTime.Add(time.Duration(n) * time.Millisecond)
		s := submit(uint64(n), byte(n))
		s.Deadline = testTime.Add(time.Minute)
		st.run(p, now, p.Step(now, s, nil))
	}
	is.True(len(p.archives) > 1)
	is.True(len(st.objects["claims/orders/1/head"]) < 3*2048)
	q := New("orders", 1, "b")
	now := testTime.Add(2 * time.Minute)
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

// Guards against recorded responses that take unlimited memory.
func TestRecordedBodyBytesAreBounded(t *testing.T) {
	is := is.New(t)
	p := New("orders", 1, "a")
	st := newFakeStore()
	st.body = make([]byte, MaxBodyBytes)
	st.run(p, testTime, p.Step(testTime, LeaseAcquired{Deadline: testTime.Add(time.Minute)}, nil))
	const requests = maxRecordedBytes/MaxBodyBytes + 10
	for n := range requests {
		s := Submit{AttemptID: uint64(n), Key: Key{Digest: numberedKey(n), CreatedAt: testTime}, Deadline: testTime.Add(time.Minute)}
		st.run(p, testTime, p.Step(testTime, s, nil))
	}
	repeat := Submit{AttemptID: requests, Key: Key{Digest: numberedKey(requests - 1), CreatedAt: testTime}}
	r := onlyCommand(t, p.Step(testTime, repeat, nil)).(Response)
	is.Equal(r.Outcome, wagoutcome.Done)
	is.True(!r.BodyKept)
	is.Equal(p.bodyBytes, maxRecordedBytes)
	later := testTime.Add(2 * DefaultRetention)
	p.Step(later, Tick{}, nil)
	is.Equal(p.bodyBytes, 0)
}

// Guards against an issued key whose request runs twice or at another
// incarnation.
func TestIssuedKeyRunsOnceAtItsIssuer(t *testing.T) {
	is := is.New(t)
	secrets := Secrets{[]byte("one")}
	a, b := NewIssuer("a-1", secrets, time.Hour, 10), NewIssuer("a-2", secrets, time.Hour, 10)
	k, err := secrets.Verify(a.Issue(testTime))
	is.NoErr(err)
	d := onlyCommand(t, a.Submit(testTime, k, submit(1, 7), nil)).(Dispatch)
	is.Equal(onlyCommand(t, b.Submit(testTime, k, submit(1, 7), nil)).(Response).Outcome, wagoutcome.Unknown)
	is.Equal(len(a.Submit(testTime, k, submit(2, 7), nil)), 0)
	is.Equal(len(a.FinishDispatch(DispatchFinished{Key: d.Key, Outcome: wagoutcome.Done, Status: 200}, nil)), 2)
	is.Equal(onlyCommand(t, a.Submit(testTime, k, submit(3, 7), nil)).(Response).Outcome, wagoutcome.Done)
	expired := testTime.Add(2 * time.Hour)
	is.Equal(onlyCommand(t, a.Submit(expired, k, submit(4, 7), nil)).(Response).Outcome, wagoutcome.Unknown)
	_, err = secrets.Verify(strings.Replace(a.Issue(testTime), "a-1", "a-3", 1))
	is.True(err != nil)
}
