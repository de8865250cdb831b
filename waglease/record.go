package waglease

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the fields of a record.
const (
	maxName = 256
	// maxYear bounds deadlines, because JSON has no later ones.
	maxYear = 9999
)

// Record is the value of a lease object.
type Record struct {
	// Holder and Incarnation name one start of one host.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each write of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Deadline is when the lease ends. The holder stops wagclock.Bound earlier.
	Deadline time.Time `json:"deadline"`
	// Released tells that the holder has stopped using the lease.
	Released bool            `json:"released,omitempty"`
	Payload  json.RawMessage `json:"payload,omitempty"`
}

// Encode returns the JSON form of a record.
func Encode(r Record) (value []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode lease") }()
	if err = r.check(); err != nil {
		return nil, err
	}
	b := &bytes.Buffer{}
	e := json.NewEncoder(b)
	// Escapes would let a payload grow over its bound.
	e.SetEscapeHTML(false)
	err = e.Encode(r)
	return b.Bytes(), err
}

// Decode reads and checks the JSON form of a record.
func Decode(value []byte) (r Record, err error) {
	defer func() { err = errors.WithMessage(err, "decode lease") }()
	if len(value) > MaxValueBytes {
		return Record{}, errors.Errorf("the value has %d bytes (allowed: %d)", len(value), MaxValueBytes)
	}
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err = d.Decode(&r); err != nil {
		return Record{}, err
	}
	if d.More() {
		return Record{}, errors.New("the value has more than one JSON element")
	}
	if err = r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) check() error {
	if r.Holder == "" || len(r.Holder) > maxName {
		return errors.Errorf("holder has %d bytes (allowed: 1 to %d)", len(r.Holder), maxName)
	}
	if r.Incarnation == 0 || r.Sequence == 0 {
		return errors.New("incarnation or sequence is missing")
	}
	if r.Deadline.IsZero() || r.Deadline.Year() > maxYear {
		return errors.Errorf("deadline %s is out of range", r.Deadline)
	}
	if len(r.Payload) > MaxPayloadBytes {
		return errors.Errorf("payload has %d bytes (allowed: %d)", len(r.Payload), MaxPayloadBytes)
	}
	return nil
}

// Rank returns the n candidates with the highest rendezvous scores for an item,
// best first.
func Rank(item string, candidates []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	if n <= 0 {
		return nil
	}
	best := make([]scored, 0, n+1)
	for _, c := range candidates {
		s := scored{name: c, score: Score(item, c)}
		at := len(best)
		for at > 0 && (s.score > best[at-1].score || s.score == best[at-1].score && s.name < best[at-1].name) {
			at--
		}
		best = append(best, scored{})
		copy(best[at+1:], best[at:])
		best[at] = s
		best = best[:min(len(best), n)]
	}
	names := make([]string, len(best))
	for i, s := range best {
		names[i] = s.name
	}
	return names
}
