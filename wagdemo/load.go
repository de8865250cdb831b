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

// requestsPerSecond is the load that all callers together offer.
const requestsPerSecond = 250

// callerCount is the number of callers that share the load. Each of them stays below
// the rate of a new caller, which is 100 requests per second.
const callerCount = 7

// maxInFlight bounds the requests that wait for a response.
const maxInFlight = 256

// Shares of the kinds of requests. The rest are downloads.
const (
	stockShare = 0.55
	orderShare = 0.25
	listShare  = 0.17
)

// downloadBytes is the size of a downloaded pattern file.
const downloadBytes = 200_000

// requestKind describes the requests of one kind.
type requestKind struct {
	// header names the caller, and work is the service time that the server simulates.
	name, method, path, header, work string
	// bytes is the size of the response, or 0 for one of a single line.
	bytes int
	// keyed marks requests with an idempotency key.
	keyed bool
}

var requestKinds = []requestKind{
	{name: "stock check", method: http.MethodGet, path: "/ordering/stock/", header: "Funeral-Home", work: "4ms"},
	{name: "order", method: http.MethodPost, path: "/ordering/orders", header: "Funeral-Home", work: "6ms", keyed: true},
	{name: "pattern list", method: http.MethodGet, path: "/patterns/list", header: "Tailor", work: "3ms"},
	{name: "download", method: http.MethodGet, path: "/patterns/files/", header: "Tailor", work: "120ms", bytes: downloadBytes},
}

// requestRecord holds what a caller observed of one request.
type requestRecord struct {
	// id is the id in the URL. It is the key if the request has one.
	id  string
	key string
	// kind is an index of requestKinds.
	kind int
	// caller is the name of the caller, and host the index of the entry host.
	caller string
	host   int
	// bytes is the size of the response body as far as it arrived.
	bytes   int64
	outcome wagoutcome.Outcome
	status  int
	// broken is set when no response arrived or its body ended early.
	broken bool
	// mismatched is set when the body is not the complete response to this request.
	mismatched bool
	sentAt     time.Time
	duration   time.Duration
}

// loadGenerator sends requests and records their outcomes.
type loadGenerator struct {
	demo   *Demo
	site   *site
	client *http.Client

	mu        sync.Mutex
	records   []requestRecord
	latencies []*hdrhistogram.Histogram
}

func newLoadGenerator(d *Demo, s *site) *loadGenerator {
	l := &loadGenerator{demo: d, site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}}
	for range requestKinds {
		l.latencies = append(l.latencies, hdrhistogram.New(1, time.Minute.Microseconds(), 3))
	}
	return l
}

// run sends requests at random intervals until a given time.
func (l *loadGenerator) run(ctx context.Context, until time.Time) error {
	rng := rand.New(rand.NewPCG(l.demo.seed, 0))
	g := new(errgroup.Group)
	g.SetLimit(maxInFlight)
	next := time.Now()
	for n := 0; next.Before(until); n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / requestsPerSecond))
		if !wagclock.Wait(ctx, wagclock.System{}, next) {
			break
		}
		kind := pickKind(rng.Float64())
		host := rng.IntN(len(l.site.entryHosts))
		repeat := requestKinds[kind].keyed && rng.IntN(5) == 0
		g.Go(func() error {
			l.sendWithRepeat(ctx, n, kind, host, repeat)
			return nil
		})
	}
	return g.Wait()
}

// pickKind returns the kind of request for a random number in [0, 1).
func pickKind(x float64) int {
	for i, share := range []float64{stockShare, orderShare, listShare} {
		if x < share {
			return i
		}
		x -= share
	}
	return len(requestKinds) - 1
}

// sendWithRepeat sends the n-th request, and a keyed one again if repeat is set. The
// repeat has the same key and goes through another host.
func (l *loadGenerator) sendWithRepeat(ctx context.Context, n, kind, host int, repeat bool) {
	key := ""
	if requestKinds[kind].keyed {
		key = fmt.Sprintf("order-%d-%d", l.demo.seed, n)
	}
	l.send(ctx, fmt.Sprintf("c%d", n), key, kind, host)
	if repeat {
		l.send(ctx, fmt.Sprintf("c%dr", n), key, kind, (host+1)%len(l.site.entryHosts))
	}
}

// send sends one request and records its outcome.
func (l *loadGenerator) send(ctx context.Context, id, key string, kind, host int) {
	spec := requestKinds[kind]
	// A repeat must be the same request, so the URL of a keyed request has its key as
	// the id.
	workID := id
	if key != "" {
		workID = key
	}
	url := fmt.Sprintf("http://%s%s?id=%s&work=%s&bytes=%d", l.site.entryHosts[host].caller, spec.path+idSuffix(spec.path, workID), workID, spec.work, spec.bytes)
	req, err := http.NewRequestWithContext(ctx, spec.method, url, nil)
	if err != nil {
		return
	}
	// Keys belong to callers, so a repeat comes from the same caller.
	caller := fmt.Sprintf("caller-%d", crc32.ChecksumIEEE([]byte(workID))%callerCount)
	req.Header.Set(spec.header, caller)
	req.Header.Set("Request-Id", id)
	if key != "" {
		req.Header.Set(wagoutcome.IdempotencyKeyHeader, key)
	}
	r := requestRecord{id: workID, key: key, kind: kind, caller: caller, host: host, sentAt: time.Now()}
	l.exchange(req, &r)
	r.duration = time.Since(r.sentAt)
	l.addRecord(r)
}

// idSuffix returns what is appended to a path: the id if the path ends with a slash,
// or nothing.
func idSuffix(path, id string) string {
	if strings.HasSuffix(path, "/") {
		return id
	}
	return ""
}

// exchange sends a request, reads the response and fills in the record.
func (l *loadGenerator) exchange(req *http.Request, r *requestRecord) {
	resp, err := l.client.Do(req)
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
		r.mismatched = !isComplete(body, requestKinds[r.kind], r.id)
	}
}

// isComplete reports whether a body is the complete response to a request.
func isComplete(body []byte, kind requestKind, id string) bool {
	line, _, found := strings.Cut(string(body), "\n")
	return found && strings.HasSuffix(line, " "+id) && strings.Contains(line, kind.path) && (kind.bytes == 0 || len(body) == kind.bytes)
}

func (l *loadGenerator) addRecord(r requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	if r.outcome == wagoutcome.Done && r.status < http.StatusBadRequest {
		_ = l.latencies[r.kind].RecordValue(max(r.duration.Microseconds(), 1))
	}
}
