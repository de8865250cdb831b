package commands

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const platformSettings = `{"node":"edge-1","zone":"pnw-a","zones":{"pnw-a":"pnw","pnw-b":"pnw"},` +
	`"listen":{"front":"10.1.0.10:8161","ready":"10.1.0.10:8167","control":"10.1.0.10:8166"},` +
	`"bounds":{"graceS":6,"retryRatio":0.2,"retryWindowS":10,"retrySlack":60,"probesPerS":60},"provider":{"addr":"10.200.1.7:8169"}}`

// Guards against settings of the platform that can be checked only by starting a host, and
// against errors that do not name the field.
func TestPlatformSettings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, []byte(platformSettings), 0o600))
	_, err := run("settings", "check", file)
	is.NoErr(err)
	out, err := run("settings", "print", file)
	is.NoErr(err)
	for _, line := range []string{"dataCentre", "pnw-a", "grace", "6s", "retrySlackOfDataCentre", "30"} {
		is.True(strings.Contains(out, line))
	}
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(platformSettings, `"edge-1"`, `""`, 1)), 0o600))
	_, err = run("settings", "check", file)
	is.True(err != nil && strings.Contains(err.Error(), "node"))
}

// Guards against operators who cannot see how hosts read the platform's configuration, and
// against one malformed object that hides the others.
func TestDocumentPlatform(t *testing.T) {
	is := is.New(t)
	objects := map[string]string{
		"config": `{"meta":{"name":"main","rev":2},"spec":{"version":"0000000c","services":[{"name":"lots","healthPath":"/healthz"}],"vhosts":[{"host":"a.example","pathRules":[` +
			`{"name":"r1","pathPrefix":"/x/","routeType":"idempotent","timeoutMs":1000,"goalMs":250,"priority":2,"attempts":2,"service":"lots"}]}]}}`,
		"servers": `{"meta":{"name":"i-1","rev":3},"spec":{"addr":"10.1.0.9:80","nodeInfo":{"service":"lots","version":"1","zone":"a","maxConcurrency":6},` +
			`"status":{"state":"ready","seq":1},"born":5}},{"meta":{"name":"i-2","rev":4},"spec":{"addr":7}}`,
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"items":[%s],"hasMore":false,"atRev":9}`, objects[strings.TrimPrefix(r.URL.Path, "/objects/")])
	}))
	defer s.Close()
	out, err := run("document", "platform", "--store", s.Listener.Addr().String())
	is.NoErr(err)
	for _, text := range []string{"version  12", "a.example/x/", "idempotent", "goal 250ms", "i-1", "slots 6", "skipped", "servers/i-2"} {
		is.True(strings.Contains(out, text))
	}
}
