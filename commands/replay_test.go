package commands

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against an exit status of 0 when an outcome was missed or the input is not valid.
func TestReplayStatus(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(directory, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	trace := filepath.Join(directory, "trace.jsonl")
	is.Equal(Execute([]string{"wagtailspar", "trace", "--service", "ordering", "--length", "1s", "--output", trace}), 0)
	met := file("met.json", `{"outcomes":[{"run":"groupOwner","metric":"violations","atMost":0}]}`)
	missed := file("missed.json", `{"outcomes":[{"run":"groupOwner","metric":"short.p99","atMost":0}]}`)
	bad := file("bad.jsonl", "{}\n")
	replay := func(args ...string) int {
		return Execute(append([]string{"wagtailspar", "replay", "--policy", "groupOwner"}, args...))
	}
	is.Equal(replay("--trace", trace, "--outcomes", met, "--report", filepath.Join(directory, "report")), 0)
	is.Equal(replay("--trace", trace, "--outcomes", missed), 1)
	is.Equal(replay("--trace", bad), 1)
	is.Equal(replay("--trace", trace, "--without", "nothing"), 1)
	is.Equal(replay("--trace", trace, "--policy", "nothing"), 1)
	_, err := os.Stat(filepath.Join(directory, "report", "ccdf.svg"))
	is.NoErr(err)
}
