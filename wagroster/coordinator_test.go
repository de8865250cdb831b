package wagroster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hosts of two data centres that select different quota coordinators,
// because a host knows only the relay of a third data centre.
func TestCoordinatorIsTheSameForAllHosts(t *testing.T) {
	is := is.New(t)
	var all []Member
	for i, dataCentre := range []string{"a", "b", "c"} {
		for n := range 4 {
			all = append(all, Member{Name: fmt.Sprint(dataCentre, n), DataCentre: dataCentre, MilliCores: 160 * (1 + i), Generation: 1})
		}
	}
	complete := New(all[0])
	complete.UpdateFromOthers(all)
	relay, ok := complete.Relay("a")
	is.True(ok)
	partial := New(all[8])
	partial.UpdateFromOthers(append([]Member{relay}, all[4:]...))
	weak := 0
	for shard := range 64 {
		coordinator := complete.Coordinator(shard)
		is.Equal(coordinator, partial.Coordinator(shard))
		if coordinator.DataCentre == "a" {
			weak++ // a third of the processor of those in c
		}
	}
	is.Equal(weak, 0)
	before := complete.Coordinator(0)
	complete.MarkUnreachable(time.Now(), before.Name)
	is.True(complete.Coordinator(0).Name != before.Name)
}
