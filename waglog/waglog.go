// Package waglog writes the decisions of a host as structured log lines. Writing never
// blocks, and the rate of each kind of line is limited; dropped lines are counted.
package waglog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Kind is a kind of decision. It is the msg of its lines.
type Kind string

// Kinds of decisions. docs/LOGS.md describes their fields.
const (
	// KindRequest is the end of a caller's request.
	KindRequest Kind = "request"
	// KindAttempt is the end of an attempt that failed or was canceled.
	KindAttempt Kind = "attempt"
	// KindGrant, KindRefusal and KindSpill are decisions of the owner of a server
	// group.
	KindGrant   Kind = "grant"
	KindRefusal Kind = "refusal"
	KindSpill   Kind = "spill"
	// KindServer is a change in what this host knows of a server, and KindMember of
	// another host.
	KindServer Kind = "server"
	KindMember Kind = "member"
	// KindConfig is about configurations, and KindStore about the platform's store.
	KindConfig Kind = "config"
	KindStore  Kind = "store"
	// KindHost is about this host: start, stop, SIGHUP and reload.
	KindHost Kind = "host"
)

const (
	// DefaultRate and defaultBurst limit the lines of each kind: the lines per second,
	// and the size of a burst. A host of the largest site takes 10 requests a second on
	// average; a line has about 300 bytes.
	DefaultRate  = 200
	defaultBurst = 400
	// flushInterval is how often the buffered lines are written.
	flushInterval = 200 * time.Millisecond
	// maxPendingBytes bounds the buffered lines.
	maxPendingBytes = 256 << 10
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Log writes structured lines. It is safe for concurrent use.
type Log struct {
	logger *logrus.Logger
	host   string
	now    func() time.Time
	rate   rate.Limit
	burst  int
	level  logrus.Level
	out    *buffer

	mu    sync.Mutex
	kinds map[Kind]*kindState
}

type kindState struct {
	limiter *rate.Limiter
	// dropped counts the lines dropped since the last one that was written, and
	// droppedTotal since the start.
	dropped, droppedTotal uint64
}

// Option sets a property of a Log.
type Option func(*Log)

// WithRate limits the lines of each kind to a number per second, with bursts of twice
// that number.
func WithRate(lines float64) Option {
	return func(l *Log) { l.rate, l.burst = rate.Limit(lines), max(int(2*lines), 1) }
}

// WithLevel drops the lines below a level.
func WithLevel(level logrus.Level) Option { return func(l *Log) { l.level = level } }

// WithNow replaces the system clock.
func WithNow(now func() time.Time) Option { return func(l *Log) { l.now = now } }

// New returns the log of a host, which writes lines of JSON to out while Run runs.
func New(out io.Writer, host string, opts ...Option) *Log {
	l := &Log{host: host, now: time.Now, rate: DefaultRate, burst: defaultBurst, level: logrus.InfoLevel, kinds: make(map[Kind]*kindState), out: &buffer{out: out}}
	for _, o := range opts {
		o(l)
	}
	l.logger = logrus.New()
	l.logger.SetOutput(l.out)
	l.logger.SetFormatter(&formatter{})
	l.logger.SetLevel(l.level)
	return l
}

// Discard returns a log that drops all lines.
func Discard() *Log { return New(io.Discard, "", WithRate(0)) }

// Info writes a line unless its kind exceeds the rate limit. It modifies and keeps f.
func (l *Log) Info(k Kind, f Fields) { l.write(k, logrus.InfoLevel, f) }

// Warn is like Info, for a condition that needs attention.
func (l *Log) Warn(k Kind, f Fields) { l.write(k, logrus.WarnLevel, f) }

func (l *Log) write(k Kind, level logrus.Level, f Fields) {
	if level > l.level {
		return
	}
	now := l.now()
	l.mu.Lock()
	state, ok := l.kinds[k]
	if !ok {
		state = &kindState{limiter: rate.NewLimiter(l.rate, l.burst)}
		l.kinds[k] = state
	}
	if !state.limiter.AllowN(now, 1) {
		state.dropped++
		state.droppedTotal++
		l.mu.Unlock()
		return
	}
	dropped := state.dropped
	state.dropped = 0
	l.mu.Unlock()
	f["host"] = l.host
	if dropped > 0 {
		f["dropped"] = dropped
	}
	e := &logrus.Entry{Logger: l.logger, Data: f, Time: now}
	e.Log(level, string(k))
}

// DroppedCounts returns the number of lines of each kind that were dropped since the
// start. Lines that did not fit into the buffer count as the kind "buffer".
func (l *Log) DroppedCounts() map[Kind]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[Kind]uint64)
	for name, k := range l.kinds {
		if k.droppedTotal > 0 {
			counts[name] = k.droppedTotal
		}
	}
	if n := l.out.droppedLines(); n > 0 {
		counts["buffer"] = n
	}
	return counts
}

// Logger returns a logger without kinds and rate limits, for messages that are not
// decisions.
func (l *Log) Logger() logrus.FieldLogger { return l.logger.WithField("host", l.host) }

// Run writes the buffered lines until ctx ends, and once more then.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.out.flush()
			return nil
		case <-ticker.C:
			l.out.flush()
		}
	}
}

// buffer holds lines until they are written, so that a blocked output does not block
// requests.
type buffer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// dropped counts the lines that did not fit.
	dropped uint64
}

// Write appends a line, or drops it when the buffer is full.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxPendingBytes {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

func (b *buffer) droppedLines() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// flush writes the buffered lines to the output.
func (b *buffer) flush() {
	b.mu.Lock()
	text := b.pending
	b.pending = nil
	b.mu.Unlock()
	if len(text) > 0 {
		// There is no other place to report a failure of the log output.
		_, _ = b.out.Write(text)
	}
}
