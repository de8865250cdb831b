// Package waglog writes the decisions of a host as structured lines. Writing never
// blocks, and each kind of line has a bound; what is left out is counted.
package waglog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Kind names a kind of decision. It is the msg of its lines.
type Kind string

// Kinds of decisions. docs/LOGS.md describes their fields.
const (
	// KindRequest is the end of a request of a caller.
	KindRequest Kind = "request"
	// KindAttempt is the end of an attempt at a server that did not end the request.
	KindAttempt Kind = "attempt"
	// KindGrant, KindRefusal and KindSpill are decisions of the owner of a group.
	KindGrant   Kind = "grant"
	KindRefusal Kind = "refusal"
	KindSpill   Kind = "spill"
	// KindServer tells what is believed of a server, KindMember of another host.
	KindServer Kind = "server"
	KindMember Kind = "member"
	// KindConfig tells of configurations, KindStore of the platform's store.
	KindConfig Kind = "config"
	KindStore  Kind = "store"
	// KindHost tells of this host: start, stop, reload and duties.
	KindHost Kind = "host"
)

const (
	// DefaultRate and defaultBurst bound the lines of one kind, a second. A host of
	// the largest site takes 10 requests a second on average; a line has about 300
	// bytes.
	DefaultRate  = 200
	defaultBurst = 400
	// flushTime is the longest time that a line waits to be written.
	flushTime = 200 * time.Millisecond
	// maxPending bounds the bytes that wait to be written.
	maxPending = 256 << 10
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Log writes lines. It is safe for concurrent use.
type Log struct {
	logger *logrus.Logger
	host   string
	now    func() time.Time
	rate   rate.Limit
	burst  int
	level  logrus.Level
	out    *buffer

	mu    sync.Mutex
	kinds map[Kind]*kind
}

type kind struct {
	limiter *rate.Limiter
	// dropped counts the lines since the latest one that was written, and total
	// since the start.
	dropped, total uint64
}

// Option sets a property of a Log.
type Option func(*Log)

// WithRate bounds the lines of each kind, a second.
func WithRate(lines float64) Option {
	return func(l *Log) { l.rate, l.burst = rate.Limit(lines), max(int(2*lines), 1) }
}

// WithLevel leaves out lines below a level.
func WithLevel(level logrus.Level) Option { return func(l *Log) { l.level = level } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(l *Log) { l.now = now } }

// New returns a log of a host that writes JSON lines.
func New(out io.Writer, host string, opts ...Option) *Log {
	l := &Log{host: host, now: time.Now, rate: DefaultRate, burst: defaultBurst, level: logrus.InfoLevel, kinds: make(map[Kind]*kind), out: &buffer{out: out}}
	for _, o := range opts {
		o(l)
	}
	l.logger = logrus.New()
	l.logger.SetOutput(l.out)
	l.logger.SetFormatter(&formatter{})
	l.logger.SetLevel(l.level)
	return l
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard, "", WithRate(0)) }

// Info writes a line unless there were too many of its kind. It keeps f.
func (l *Log) Info(k Kind, f Fields) { l.write(k, logrus.InfoLevel, f) }

// Warn writes a line about something that should not be.
func (l *Log) Warn(k Kind, f Fields) { l.write(k, logrus.WarnLevel, f) }

func (l *Log) write(k Kind, level logrus.Level, f Fields) {
	if level > l.level {
		return
	}
	now := l.now()
	l.mu.Lock()
	state, ok := l.kinds[k]
	if !ok {
		state = &kind{limiter: rate.NewLimiter(l.rate, l.burst)}
		l.kinds[k] = state
	}
	if !state.limiter.AllowN(now, 1) {
		state.dropped++
		state.total++
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

// DroppedCounts returns how many lines of each kind were left out since the start. Bytes
// that did not fit into the buffer count as the kind "buffer".
func (l *Log) DroppedCounts() map[Kind]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[Kind]uint64)
	for name, k := range l.kinds {
		if k.total > 0 {
			counts[name] = k.total
		}
	}
	if n := l.out.lost(); n > 0 {
		counts["buffer"] = n
	}
	return counts
}

// Logger returns a logger for code that is not part of a decision.
func (l *Log) Logger() logrus.FieldLogger { return l.logger.WithField("host", l.host) }

// Run writes the lines until ctx ends, and then what is left.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushTime)
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

// buffer keeps lines until they are written, so that a reader who stops reading
// stops no request.
type buffer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// dropped counts the lines that did not fit.
	dropped uint64
}

// Write takes one line.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxPending {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

func (b *buffer) lost() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// flush writes what is pending.
func (b *buffer) flush() {
	b.mu.Lock()
	text := b.pending
	b.pending = nil
	b.mu.Unlock()
	if len(text) > 0 {
		// Nobody can be told when the output fails.
		_, _ = b.out.Write(text)
	}
}
