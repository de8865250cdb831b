package wagclaim

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagstore"
)

// ErrMalformedObject reports that an object in the store was not written by this
// package.
var ErrMalformedObject = errors.New("claim object is malformed")

// State is the state of a claim in the store.
type State byte

// States of claims.
const (
	// Open is a claim whose request its owner may have dispatched.
	Open State = iota + 1
	// Unresolved is a claim whose outcome is unknown for good.
	Unresolved
	// Settled is a claim whose request ran and got a response.
	Settled
)

// Format and limits of encoded objects.
const (
	objectFormat   = 1
	maxWriterBytes = 128
	maxArchives    = 4096
)

// Record is the stored form of a claim.
type Record struct {
	// Key is the digest of the key, and Fingerprint that of the request.
	Key, Fingerprint Digest
	State            State
	// ClaimedAt is when the key was claimed. It is stored in milliseconds.
	ClaimedAt time.Time
	Status    int
	// Body has at most MaxBodyBytes.
	Body     []byte
	BodyKept bool
}

// Archive is a reference to an object with settled claims that is never changed.
type Archive struct {
	Name string
	// Expires is when the retention of the last of its claims ends.
	Expires time.Time
}

// Object is the decoded head of a partition or one of its archives.
type Object struct {
	// Writer and Sequence identify the write that produced the object.
	Writer   string
	Sequence uint64
	Archives []Archive
	Records  []Record
}

// AppendTo appends the encoded object to b.
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

// Decode decodes an object. It trusts nothing in the value.
func Decode(value []byte) (o *Object, err error) {
	defer func() { err = errors.WithMessage(err, "decode claims") }()
	if len(value) > wagstore.MaxValueBytes {
		return nil, ErrMalformedObject
	}
	r := &reader{rest: value}
	if r.byte() != objectFormat {
		return nil, ErrMalformedObject
	}
	o = &Object{Writer: string(r.bytes(maxWriterBytes)), Sequence: r.uvarint()}
	archives := r.uvarint()
	if archives > maxArchives {
		return nil, ErrMalformedObject
	}
	for range archives {
		o.Archives = append(o.Archives, Archive{Name: string(r.bytes(MaxKeyBytes)), Expires: r.time()})
	}
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		o.Records = append(o.Records, r.record())
	}
	if r.failed || len(r.rest) > 0 {
		return nil, ErrMalformedObject
	}
	return o, nil
}

// reader reads fields from the front of a value. After the first error it returns
// zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) take(n uint64) []byte {
	if r.failed || n > uint64(len(r.rest)) {
		r.failed = true
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

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || r.failed {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) bytes(limit uint64) []byte {
	n := r.uvarint()
	if n > limit {
		r.failed = true
		return nil
	}
	return append([]byte(nil), r.take(n)...)
}

// time reads a time in milliseconds, up to the year 9999.
func (r *reader) time() time.Time {
	const maxMillis = 253402300799999
	n := r.uvarint()
	if n > maxMillis {
		r.failed = true
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
		r.failed = true
		return c
	}
	status := r.uvarint()
	if status < 100 || status > 999 {
		r.failed = true
		return c
	}
	c.Status = int(status)
	c.BodyKept = r.byte() == 1
	c.Body = r.bytes(MaxBodyBytes)
	return c
}
