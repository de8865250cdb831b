package wagquota

import (
	"testing"
	"time"
)

// Guards against customers that are refused for seconds after a data centre was lost,
// although they stay below their limits: the parts of the others got their own shares only,
// two thirds of the limit, for 0.72 of it.
func TestLimitAfterLossOfDataCentre(t *testing.T) {
	limits := Limits{"hot": {Rate: 100, Burst: 100}}
	s := newSimulation(t, 1, limits, map[string]float64{"hot": 72})
	lost := func() {
		s.parts[4].cut, s.parts[5].cut = true, true
		s.focus = []int{0, 1, 2, 3}
	}
	refused, demanded := 0, 0
	settled := func() { refused, demanded = s.refused, s.demanded }
	s.run(45*time.Second, map[time.Duration][]func(){5 * time.Second: {lost}, 20 * time.Second: {settled}}) // the burst is used up by then
	if n, all := s.refused-refused, s.demanded-demanded; 50*n > all {
		t.Errorf("%d of %d requests were refused after the loss of a data centre", n, all)
	}
	s.checkBound(0)
}
