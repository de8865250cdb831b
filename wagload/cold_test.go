package wagload

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a data centre full of cold servers that crash one after the other when
// they return, and against one that is filled so slowly that callers are served worse than
// with crashes.
func TestColdReturn(t *testing.T) {
	for _, name := range []string{"lotDesk/coldReturn", "lotDeskLarge/coldReturn", "ordering/coldReturn"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(seeds) {
				got, err := Run(Config{Pattern: pattern(t, name), Policy: PolicyPlacement, Seed: seed})
				is.NoErr(err)
				alone, err := Run(Config{Pattern: pattern(t, name), Policy: PolicyAlone, Seed: seed})
				is.NoErr(err)
				t.Logf("seed %d: placement %.3f, %d crashes; alone %.3f, %d crashes", seed, got.Score(), got.Crashes, alone.Score(), alone.Crashes)
				is.Equal(got.Crashes, 0)
				is.True(got.Score() > alone.Score())
			}
		})
	}
}
