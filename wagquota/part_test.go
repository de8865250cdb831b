package wagquota

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testLimits = Limits{"hot": {Rate: 10, Burst: 50}}

// newTestPart returns the owner of the only part, which reports to coordinator "first".
func newTestPart(now time.Time) *Part {
	p := NewPart(now, "lots/a", "host", 0)
	p.SetLimits(testLimits, 1, 2)
	p.SetRole(now, true, 4)
	p.SetCoordinator(now, "first")
	return p
}

func testTime() time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) }

// flush returns the report of a part that has something to report.
func flush(is *is.I, p *Part, now time.Time) Report {
	r, ok := p.Flush(now)
	is.True(ok)
	return r
}

// Guards against two coordinators that count the same part: the second one must not do so
// before the first one has ceased to.
func TestCoordinatorsDoNotCountPartTogether(t *testing.T) {
	is := is.New(t)
	now := testTime()
	p, first, second := newTestPart(now), NewCoordinator(now), NewCoordinator(now)
	first.SetLimits(now, testLimits, 1)
	second.SetLimits(now, testLimits, 1)
	counted := false
	for step := range 400 {
		c, name := first, "first"
		if step >= 100 {
			c, name = second, "second"
			p.SetCoordinator(now, name)
		}
		if r, ok := p.Flush(now); ok {
			p.Handle(now, name, c.Handle(now, r))
		}
		is.True(first.share(now)+second.share(now) <= 1)
		counted = second.share(now) == 1
		now = now.Add(10 * time.Millisecond)
	}
	is.True(counted)
}

// Guards against a part that spends its share by itself while a coordinator counts it, when
// replies get lost or reports arrive late.
func TestPartIsNotCountedWhileAlone(t *testing.T) {
	is := is.New(t)
	now := testTime()
	p, c := newTestPart(now), NewCoordinator(now)
	c.SetLimits(now, testLimits, 1)
	var late []Report
	for step := range 400 {
		if r, ok := p.Flush(now); ok {
			switch {
			case step < 100:
				p.Handle(now, "first", c.Handle(now, r))
			case step < 200:
				late = append(late, r)
			default:
				for _, r := range late {
					c.Handle(now, r)
				}
				late = nil
				c.Handle(now, r) // and its reply is lost
			}
		}
		if p.IsAlone(now) {
			is.Equal(c.share(now), 0.0)
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(p.IsAlone(now))
}

// Guards against credit that is spent more than CreditLifetime after it left the bucket,
// because its reply was late, and against credit that is given back after that.
func TestCreditExpires(t *testing.T) {
	is := is.New(t)
	now := testTime()
	p := newTestPart(now)
	p.Take(now, "hot")
	r := flush(is, p, now)
	reply := Reply{Number: r.Number, Stamp: 1, Acks: []Ack{{Customer: "hot", Total: 1, Credit: 3, OutFor: time.Minute}}}
	later := now.Add(300 * time.Millisecond)
	p.Handle(later, "first", reply)
	d, ok := p.Take(later, "hot").(Admit)
	is.True(ok)
	is.Equal(d.ReturnUntil, now.Add(CreditLifetime))
	expired := now.Add(CreditLifetime)
	p.Return(expired, "hot", d)
	_, ok = p.Take(expired, "hot").(Refuse)
	is.True(ok)
}

// Guards against charges that count twice when a report is repeated, arrives late, or is
// the first one to a new coordinator.
func TestChargesCountOnce(t *testing.T) {
	is := is.New(t)
	now := testTime()
	c := NewCoordinator(now)
	c.SetLimits(now, testLimits, 1)
	handle := func(total, acknowledged uint64) {
		c.Handle(now, Report{Part: "lots/a", Sender: "host", Charges: []Charge{{Customer: "hot", Total: total, Acknowledged: acknowledged}}})
	}
	handle(7, 5) // a former coordinator acknowledged 5
	is.Equal(c.buckets["hot"].tokens, -2.0)
	handle(7, 5)
	handle(6, 5)
	is.Equal(c.buckets["hot"].tokens, -2.0)
	handle(8, 7)
	is.Equal(c.buckets["hot"].tokens, -3.0)
}

// Guards against hosts that cannot reach the owner and together spend more than the part:
// each waits for credit, and spends its share of the part when there is no reply.
func TestHostThatActsForOwner(t *testing.T) {
	is := is.New(t)
	now := testTime()
	p := newTestPart(now)
	p.SetRole(now, false, 4)
	_, ok := p.Take(now, "hot").(Wait)
	is.True(ok)
	is.True(!flush(is, p, now).IsOwner)
	admitted := 0
	for range 700 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := p.Take(now, "hot").(Admit); ok {
			admitted++
		}
		p.Flush(now)
	}
	is.True(admitted >= 8 && admitted <= 11) // minorityShare of a quarter of the rate for 6 s
}

// Guards against a customer with an unbounded limit that gets no credit, and is refused,
// because its tokens are more than a whole number can hold.
func TestLargestLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, x := range []float64{1 << 53, 1 << 63, 1e300, math.MaxFloat64} {
		c := NewCoordinator(now)
		c.SetLimits(now, Limits{"large": {Rate: x, Burst: x}}, 1)
		r := c.Handle(now, Report{Part: "a", Sender: "a1", Number: 1, IsOwner: true})
		later := now.Add(LeaseTime / 2) // the part is counted from the second report on
		c.Handle(later, Report{Part: "a", Sender: "a1", Number: 2, IsOwner: true, Echo: r.Stamp})
		later = later.Add(LeaseTime / 4)
		r = c.Handle(later, Report{Part: "a", Sender: "a1", Number: 3, IsOwner: true, Charges: []Charge{{Customer: "large", Total: 1, Demand: 5, Waiting: 3}}})
		is.Equal(len(r.Acks), 1)
		is.True(r.Acks[0].Credit >= 3)
		is.Equal(r.Acks[0].OutFor, time.Duration(0))
	}
}
