package wagplacement

import (
	"fmt"
	"testing"
)

// BenchmarkManyWaiting measures one more request at the owner of a large group whose
// servers have not answered yet while 300 requests wait, as after a power failure.
func BenchmarkManyWaiting(b *testing.B) {
	const servers, waiting = 84, 300
	g := newGroup(servers, 6)
	for n := range servers {
		g.silent[fmt.Sprint("s", n)] = true
	}
	for range waiting {
		g.submit(nil)
	}
	for b.Loop() {
		id := g.submit(nil)
		g.scheduler.Cancel(g.now, id)
	}
}
