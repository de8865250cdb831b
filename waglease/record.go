package waglease

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Limits of the fields of a record.
const (
	// maxHolderBytes limits the name of the holder.
	maxHolderBytes = 256
	// maxYear is the last year that a time can have in JSON.
	maxYear = 9999
)

// Record is the decoded value of a lease object.
type Record struct {
	// Holder and Incarnation identify one start of a host.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each write of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Deadline is when the lease ends. The holder stops using it wagclock.MaxSkew
	// earlier.
	Deadline time.Time `json:"deadline"`
	// Released is set when the holder has stopped using the lease.
	Released bool            `json:"released,omitempty"`
	Payload  json.RawMessage `json:"payload,omitempty"`
}

// Encode returns the JSON encoding of a record.
func Encode(r Record) (value []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode lease") }()
	if err = r.validate(); err != nil {
		return nil, err
	}
	b := &bytes.Buffer{}
	e := json.NewEncoder(b)
	// HTML escapes would let a payload exceed its limit.
	e.SetEscapeHTML(false)
	err = e.Encode(r)
	return b.Bytes(), err
}

// Decode decodes a record from JSON and checks its fields.
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
	if err = r.validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// validate checks the limits of the fields.
func (r Record) validate() error {
	if r.Holder == "" || len(r.Holder) > maxHolderBytes {
		return errors.Errorf("holder has %d bytes (allowed: 1 to %d)", len(r.Holder), maxHolderBytes)
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
		pos := len(best)
		for pos > 0 && (s.score > best[pos-1].score || s.score == best[pos-1].score && s.name < best[pos-1].name) {
			pos--
		}
		best = append(best, scored{})
		copy(best[pos+1:], best[pos:])
		best[pos] = s
		best = best[:min(len(best), n)]
	}
	names := make([]string, len(best))
	for i, s := range best {
		names[i] = s.name
	}
	return names
}
