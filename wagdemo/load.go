package wagdemo

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// callsPerSecond is the offered load of all callers together.
const callsPerSecond = 250

// callers is how many callers share the load. Each stays under the rate of a new
// caller, 100 calls a second.
const callers = 7

// maxInFlight bounds the calls that wait for an answer.
const maxInFlight = 256

// Shares of the kinds of calls; the rest are downloads.
const (
	shareStock = 0.55
	shareOrder = 0.25
	shareList  = 0.17
)

// downloadBytes is the size of a pattern file.
const downloadBytes = 200_000

// callKind is one kind of call.
type callKind struct {
	name, method, path, header, work string
	bytes                            int
	keyed                            bool
}

var kinds = []callKind{
	{name: "stock check", method: http.MethodGet, path: "/ordering/stock/", header: "Funeral-Home", work: "4ms"},
	{name: "order", method: http.MethodPost, path: "/ordering/orders", header: "Funeral-Home", work: "6ms", keyed: true},
	{name: "pattern list", method: http.MethodGet, path: "/patterns/list", header: "Tailor", work: "3ms"},
	{name: "download", method: http.MethodGet, path: "/patterns/files/", header: "Tailor", work: "120ms", bytes: downloadBytes},
}

// record is what the callers saw of one call.
type record struct {
	id   string
	key  string
	kind int
	// caller and host are the name of the caller and the index of the entry host.
	caller string
	host   int
	// bytes is the size of the answer as far as it arrived.
	bytes   int64
	outcome wagoutcome.Outcome
	status  int
	// broken tells that the answer ended early.
	broken bool
	// foreign tells that the answer was not the one to this request.
	foreign bool
	arrived time.Time
	took    time.Duration
}

// load makes calls and keeps what became of them.
type load struct {
	demo *Demo
	site *site
	http *http.Client

	mu      sync.Mutex
	records []record
	latency []*hdrhistogram.Histogram
}

func newLoad(d *Demo, s *site) *load {
	l := &load{demo: d, site: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}}
	for range kinds {
		l.latency = append(l.latency, hdrhistogram.New(1, time.Minute.Microseconds(), 3))
	}
	return l
}

// run makes calls until a deadline at random intervals.
func (l *load) run(ctx context.Context, until time.Time) error {
	random := rand.New(rand.NewPCG(l.demo.seed, 0))
	g := new(errgroup.Group)
	g.SetLimit(maxInFlight)
	next := time.Now()
	for n := 0; next.Before(until); n++ {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / callsPerSecond))
		if !wagclock.Wait(ctx, wagclock.System{}, next) {
			break
		}
		k := pickKind(random.Float64())
		host := random.IntN(len(l.site.entries))
		repeat := kinds[k].keyed && random.IntN(5) == 0
		g.Go(func() error {
			l.call(ctx, n, k, host, repeat)
			return nil
		})
	}
	return g.Wait()
}

func pickKind(x float64) int {
	for i, share := range []float64{shareStock, shareOrder, shareList} {
		if x < share {
			return i
		}
		x -= share
	}
	return len(kinds) - 1
}

// call makes one call. A repeat brings the same key through another host.
func (l *load) call(ctx context.Context, n, k, host int, repeat bool) {
	key := ""
	if kinds[k].keyed {
		key = fmt.Sprintf("order-%d-%d", l.demo.seed, n)
	}
	l.one(ctx, fmt.Sprintf("c%d", n), key, k, host)
	if repeat {
		l.one(ctx, fmt.Sprintf("c%dr", n), key, k, (host+1)%len(l.site.entries))
	}
}

func (l *load) one(ctx context.Context, id, key string, k, host int) {
	kind := kinds[k]
	// A repeat has to be the same request, so a keyed call has its key as id.
	query := id
	if key != "" {
		query = key
	}
	url := fmt.Sprintf("http://%s%s?id=%s&work=%s&bytes=%d", l.site.entries[host].caller, kind.path+suffix(kind.path, query), query, kind.work, kind.bytes)
	req, err := http.NewRequestWithContext(ctx, kind.method, url, nil)
	if err != nil {
		return
	}
	// Keys belong to callers, so a repeat comes from the same one.
	caller := fmt.Sprintf("caller-%d", crc32.ChecksumIEEE([]byte(query))%callers)
	req.Header.Set(kind.header, caller)
	req.Header.Set("Request-Id", id)
	if key != "" {
		req.Header.Set(wagoutcome.IdempotencyKeyHeader, key)
	}
	r := record{id: query, key: key, kind: k, caller: caller, host: host, arrived: time.Now()}
	l.exchange(req, &r)
	r.took = time.Since(r.arrived)
	l.keep(r)
}

func suffix(path, id string) string {
	if strings.HasSuffix(path, "/") {
		return id
	}
	return ""
}

func (l *load) exchange(req *http.Request, r *record) {
	resp, err := l.http.Do(req)
	if err != nil {
		r.broken = true
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.bytes = int64(len(body))
	r.status, r.outcome = resp.StatusCode, wagoutcome.Parse(resp.Header.Get(wagoutcome.OutcomeHeader))
	if err != nil {
		r.broken, r.outcome = true, wagoutcome.Unknown
		return
	}
	if r.outcome == wagoutcome.Done && r.status == http.StatusOK {
		r.foreign = !whole(body, kinds[r.kind], r.id)
	}
}

// whole tells whether a body is the complete answer to a request.
func whole(body []byte, k callKind, id string) bool {
	line, _, found := strings.Cut(string(body), "\n")
	return found && strings.HasSuffix(line, " "+id) && strings.Contains(line, k.path) && (k.bytes == 0 || len(body) == k.bytes)
}

func (l *load) keep(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	if r.outcome == wagoutcome.Done && r.status < http.StatusBadRequest {
		_ = l.latency[r.kind].RecordValue(max(r.took.Microseconds(), 1))
	}
}
