package commands

import (
	"bytes"
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagstore"
	"github.com/wagtailspar/wagtailspar/wagtimeline"
)

// run executes a command line in this process and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := root()
	c.Writer, c.ErrWriter = &out, &out
	err := c.Run(context.Background(), append([]string{"wagtailspar"}, args...))
	return out.String(), err
}

// Guards against reference pages that differ from the code.
func TestReferencePages(t *testing.T) {
	for _, name := range []string{"settings", "document"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want, err := referenceText(name)
			is.NoErr(err)
			page, err := os.ReadFile(filepath.Join("..", "docs", strings.ToUpper(name)+".md"))
			is.NoErr(err)
			if string(page) != want {
				t.Fatalf("docs/%s.md differs; write it again with: go run . reference %s", strings.ToUpper(name), name)
			}
		})
	}
}

// Guards against shipped examples that are not valid.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/*.ini")
	is.NoErr(err)
	is.True(len(files) >= 5)
	for _, f := range files {
		command := "document"
		if filepath.Base(f) == "host.ini" {
			command = "settings"
		}
		_, err := run(command, "check", f)
		is.NoErr(err)
	}
}

// Guards against printed settings that cannot be read back.
func TestSettingsPrint(t *testing.T) {
	is := is.New(t)
	out, err := run("settings", "print", "../examples/host.ini")
	is.NoErr(err)
	is.True(strings.Contains(out, "dataCentre = seattle"))
	file := filepath.Join(t.TempDir(), "printed.ini")
	is.NoErr(os.WriteFile(file, []byte(out), 0o600))
	_, err = run("settings", "check", file)
	is.NoErr(err)
}

// startStore starts a stand-in for the object store.
func startStore(t *testing.T) (address string, client *wagstore.Client, standin *wagstandin.Store) {
	t.Helper()
	standin = wagstandin.NewStore()
	s := httptest.NewServer(standin.Handler())
	t.Cleanup(s.Close)
	address = strings.TrimPrefix(s.URL, "http://")
	return address, wagstore.NewClient(netip.MustParseAddrPort(address)), standin
}

// writeFile writes a text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against a change by an operator that silently overwrites another operator's.
func TestPutRefusesRace(t *testing.T) {
	is := is.New(t)
	address, _, _ := startStore(t)
	_, err := run("document", "put", "--store", address, "--writer", "ana", writeFile(t, "[service]\nname = a\n"))
	is.NoErr(err)
	shown, err := run("document", "show", "--store", address, "a")
	is.NoErr(err)
	_, err = run("document", "put", "--store", address, "--writer", "boris", writeFile(t, "[service]\nname = a\nslots = 3\n"))
	is.NoErr(err)
	edited := strings.Replace(shown, "name = a\n", "name = a\nslots = 2\n", 1)
	_, err = run("document", "put", "--store", address, "--writer", "ana", writeFile(t, edited))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "boris-")) // the other operator is named
	shown, err = run("document", "show", "--store", address, "a")
	is.NoErr(err)
	is.True(strings.Contains(shown, "slots = 3"))
	history, err := run("document", "history", "--store", address, "a")
	is.NoErr(err)
	is.Equal(strings.Count(history, "\n"), 3) // header and two versions
}

// Guards against a reported failure, or a second write, when the store executed a write
// and its response was lost.
func TestPutReadsBackAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	address, client, standin := startStore(t)
	standin.SetFaults(wagstandin.StoreFaults{LoseResponses: 1})
	out, err := run("document", "put", "--store", address, writeFile(t, "[service]\nname = a\n"))
	is.NoErr(err)
	is.True(strings.Contains(out, "this write took effect"))
	_, err = client.Get(context.Background(), wagpublish.DocumentPrefix+"a")
	is.NoErr(err)
}

// Guards against a revision that occurs twice because a document was removed from the
// store and created again.
func TestRevisionGrowsAfterDeletion(t *testing.T) {
	is := is.New(t)
	_, client, _ := startStore(t)
	ctx := context.Background()
	now := time.UnixMilli(1_000_000)
	p := wagpublish.New(client, "ana", func() time.Time { now = now.Add(time.Millisecond); return now })
	put := func(text string) wagpublish.Result {
		change, err := p.Prepare(ctx, "f", []byte(text))
		is.NoErr(err)
		r, err := p.Commit(ctx, change)
		is.NoErr(err)
		return r
	}
	first := put("[service]\nname = a\n")
	o, err := client.Get(ctx, wagpublish.DocumentPrefix+"a")
	is.NoErr(err)
	is.NoErr(client.Delete(ctx, o.Key, o.Version))
	second := put("[service]\nname = a\nslots = 2\n")
	is.True(second.Document.Revision.NewerThan(first.Document.Revision))
}

// Guards against timelines that ignore the filter or the order of time, and against
// formats that do not work or are not checked.
func TestTimelineFormats(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	events := wagevent.Merge(
		[]wagevent.Event{{Time: start.Add(2), Sequence: 1, Host: "b", Kind: wagevent.KindRequest, Service: "s"}},
		[]wagevent.Event{{Time: start, Sequence: 1, Host: "a", Kind: wagevent.KindStart}, {Time: start.Add(1), Sequence: 2, Host: "a", Kind: wagevent.KindOutcome, Service: "s"}},
	)
	var stored bytes.Buffer
	is.NoErr(wagtimeline.WriteJSON(&stored, events))
	file := writeFile(t, stored.String())
	text, err := run("timeline", "--file", file, "--service", "s")
	is.NoErr(err)
	is.Equal(strings.Count(text, "\n"), 2)
	is.True(strings.Index(text, "outcome") < strings.Index(text, "call")) // ordered by time
	for _, format := range []string{"svg", "png"} {
		out, err := run("timeline", "--file", file, "--format", format)
		is.NoErr(err)
		is.True(len(out) > 500)
	}
	_, err = run("timeline", "--file", file, "--format", "gif")
	is.True(err != nil)
}
