package wagclaim

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagstore"
)

// ErrMalformedObject tells that an object of the store is not one of this package.
var ErrMalformedObject = errors.New("claim object is malformed")

// State is what is known of a claim.
type State byte

// States of claims in the store.
const (
	// Open is a claim that its owner may have dispatched.
	Open State = iota + 1
	// Unresolved is a claim whose outcome nobody will learn.
	Unresolved
	// Settled is a claim whose call ran and was answered.
	Settled
)

// Limits of decoding.
const (
	objectFormat = 1
	maxWriter    = 128
	maxArchives  = 4096
)

// Record is one claim in the store.
type Record struct {
	Key, Fingerprint Digest
	State            State
	// ClaimedAt is when the key was claimed, in whole milliseconds.
	ClaimedAt time.Time
	Status    int
	// Body is at most MaxBody long.
	Body     []byte
	BodyKept bool
}

// Archive refers to an object with settled claims that never changes.
type Archive struct {
	Name string
	// Expires is when the last of its claims may be forgotten.
	Expires time.Time
}

// Object is the head of a partition or one of its archives.
type Object struct {
	// Writer and Sequence identify the write that produced the object.
	Writer   string
	Sequence uint64
	Archives []Archive
	Records  []Record
}

// AppendTo encodes the object.
func (o *Object) AppendTo(b []byte) []byte {
	b = append(b, objectFormat)
	b = appendBytes(b, []byte(o.Writer))
	b = binary.AppendUvarint(b, o.Sequence)
	b = binary.AppendUvarint(b, uint64(len(o.Archives)))
	for _, a := range o.Archives {
		b = appendBytes(b, []byte(a.Name))
		b = binary.AppendUvarint(b, uint64(a.Expires.UnixMilli()))
	}
	b = binary.AppendUvarint(b, uint64(len(o.Records)))
	for i := range o.Records {
		b = o.Records[i].appendTo(b)
	}
	return b
}

func (r *Record) appendTo(b []byte) []byte {
	b = append(b, r.Key[:]...)
	b = append(b, r.Fingerprint[:]...)
	b = append(b, byte(r.State))
	b = binary.AppendUvarint(b, uint64(r.ClaimedAt.UnixMilli()))
	if r.State != Settled {
		return b
	}
	b = binary.AppendUvarint(b, uint64(r.Status))
	kept := byte(0)
	if r.BodyKept {
		kept = 1
	}
	return appendBytes(append(b, kept), r.Body)
}

func appendBytes(b, text []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// Decode reads an object. Nothing in it is trusted.
func Decode(value []byte) (o *Object, err error) {
	defer func() { err = errors.WithMessage(err, "decode claims") }()
	if len(value) > wagstore.MaxValueBytes {
		return nil, ErrMalformedObject
	}
	r := &reader{rest: value}
	if r.byte() != objectFormat {
		return nil, ErrMalformedObject
	}
	o = &Object{Writer: string(r.bytes(maxWriter)), Sequence: r.number()}
	archives := r.number()
	if archives > maxArchives {
		return nil, ErrMalformedObject
	}
	for range archives {
		o.Archives = append(o.Archives, Archive{Name: string(r.bytes(MaxKeyBytes)), Expires: r.time()})
	}
	for n := r.number(); n > 0 && !r.bad; n-- {
		o.Records = append(o.Records, r.record())
	}
	if r.bad || len(r.rest) > 0 {
		return nil, ErrMalformedObject
	}
	return o, nil
}

// reader takes fields off a value. After the first fault it returns zeros.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) take(n uint64) []byte {
	if r.bad || n > uint64(len(r.rest)) {
		r.bad = true
		return nil
	}
	part := r.rest[:n]
	r.rest = r.rest[n:]
	return part
}

func (r *reader) byte() byte {
	if part := r.take(1); part != nil {
		return part[0]
	}
	return 0
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || r.bad {
		r.bad = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) bytes(limit uint64) []byte {
	n := r.number()
	if n > limit {
		r.bad = true
		return nil
	}
	return append([]byte(nil), r.take(n)...)
}

// time reads milliseconds, at most those of the year 9999.
func (r *reader) time() time.Time {
	const last = 253402300799999
	n := r.number()
	if n > last {
		r.bad = true
		return time.Time{}
	}
	return time.UnixMilli(int64(n))
}

func (r *reader) record() (c Record) {
	copy(c.Key[:], r.take(uint64(len(c.Key))))
	copy(c.Fingerprint[:], r.take(uint64(len(c.Fingerprint))))
	c.State = State(r.byte())
	c.ClaimedAt = r.time()
	switch c.State {
	case Open, Unresolved:
		return c
	case Settled:
	default:
		r.bad = true
		return c
	}
	status := r.number()
	if status < 100 || status > 999 {
		r.bad = true
		return c
	}
	c.Status = int(status)
	c.BodyKept = r.byte() == 1
	c.Body = r.bytes(MaxBodyBytes)
	return c
}
