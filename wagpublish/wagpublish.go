// Package wagpublish writes documents of services to the object store and reads
// their state for operators.
package wagpublish

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"time"

	udiff "github.com/aymanbagabas/go-udiff"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// DocumentPrefix is where documents lie in the store.
const DocumentPrefix = "documents/"

// ErrUnchanged tells that a document equals the one in the store.
var ErrUnchanged = errors.New("the document in the store is the same")

// ConflictError tells that another operator changed the document first.
type ConflictError struct {
	Service string
	// Base is the revision that the refused change started from.
	Base wagdocument.Revision
	// Stored is the revision that the store holds now.
	Stored wagdocument.Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("document %s: the change is based on revision %d, but %s has written revision %d; show it, merge the change and put it again",
		e.Service, e.Base.Number, writerName(e.Stored.Writer), e.Stored.Number)
}

func writerName(w string) string {
	if w == "" {
		return "another operator"
	}
	return w
}

// Publisher writes documents as one operator.
type Publisher struct {
	store  wagstore.Store
	writer string
	now    func() time.Time
}

// New returns a publisher that signs its revisions with the writer's name. The
// name has to differ between any two processes, so that a lost answer can be
// resolved by reading back.
func New(store wagstore.Store, writer string, now func() time.Time) *Publisher {
	return &Publisher{store: store, writer: writer, now: now}
}

// Result tells what a Put wrote.
type Result struct {
	Document *wagdocument.Document
	// Diff is the unified difference to the version that was replaced.
	Diff string
	// ReadBack is set when the answer was lost and the document was found in
	// the store afterwards.
	ReadBack bool
}

// PreparedChange is a checked change that has not been written.
type PreparedChange struct {
	Result
	current wagstore.Object
}

// Prepare checks a document and compares it with the one in the store. A text
// that carries a revision is refused unless the store still holds that one.
func (p *Publisher) Prepare(ctx context.Context, file string, text []byte) (c PreparedChange, err error) {
	defer func() { err = errors.WithMessage(err, "prepare document") }()
	d, err := wagdocument.Parse(file, text)
	if err != nil {
		return PreparedChange{}, err
	}
	current, err := p.store.Get(ctx, DocumentPrefix+d.Service.Name)
	if err != nil && !errors.Is(err, wagstore.ErrNotFound) {
		return PreparedChange{}, err
	}
	base := storedRevision(current)
	if d.Revision.Number != 0 && d.Revision.Number != base.Number {
		return PreparedChange{}, &ConflictError{Service: d.Service.Name, Base: d.Revision, Stored: base}
	}
	body := withoutRevision(text)
	if current.Version != "" && bytes.Equal(body, withoutRevision(current.Value)) {
		return PreparedChange{}, ErrUnchanged
	}
	next := base.Next(p.now(), p.writer, base.Sequence+1)
	if createsAnew(current) {
		next.Epoch = next.Number
	}
	full := withRevision(body, next)
	if d, err = wagdocument.Parse(file, full); err != nil {
		return PreparedChange{}, err
	}
	difference := udiff.Unified(fmt.Sprintf("revision %d", base.Number), fmt.Sprintf("revision %d", next.Number),
		string(withoutRevision(current.Value)), string(body))
	return PreparedChange{Result: Result{Document: d, Diff: difference}, current: current}, nil
}

// Commit writes a prepared change if the store still holds what it was
// prepared against. After a lost answer it reads back.
func (p *Publisher) Commit(ctx context.Context, c PreparedChange) (r Result, err error) {
	defer func() { err = errors.WithMessage(err, "put document") }()
	key := DocumentPrefix + c.Document.Service.Name
	_, err = p.store.Put(ctx, key, c.Document.Text, c.current.Version)
	if errors.Is(err, wagstore.ErrUnknown) {
		c.ReadBack = true
		_, err = wagstore.ResolveWrite(ctx, p.store, key, c.current.Version, c.Document.Text, func(value []byte) bool {
			return bytes.Equal(value, c.Document.Text)
		})
	}
	if errors.Is(err, wagstore.ErrConflict) {
		return Result{}, p.race(ctx, c)
	}
	if err != nil {
		return Result{}, err
	}
	// A version that the history misses is added by the next put.
	_ = p.remember(ctx, c)
	return c.Result, nil
}

func (p *Publisher) race(ctx context.Context, c PreparedChange) error {
	race := &ConflictError{Service: c.Document.Service.Name, Base: storedRevision(c.current)}
	theirs, err := p.store.Get(ctx, DocumentPrefix+c.Document.Service.Name)
	if err != nil {
		return err
	}
	race.Stored = storedRevision(theirs)
	return race
}

// storedRevision returns the revision of an object, or the zero revision when
// the object does not hold a readable one.
func storedRevision(o wagstore.Object) wagdocument.Revision {
	if len(o.Value) == 0 {
		return wagdocument.Revision{}
	}
	d, err := wagdocument.Parse(o.Key, o.Value)
	if err != nil {
		return wagdocument.ReadRevision(o.Value)
	}
	return d.Revision
}

// createsAnew tells whether a document that replaces an object begins a new
// epoch. An object that cannot be read may have been a deletion.
func createsAnew(o wagstore.Object) bool {
	d, err := wagdocument.Parse(o.Key, o.Value)
	return len(o.Value) == 0 || err != nil || d.Service.Deleted
}

var revisionSection = regexp.MustCompile(`(?ms)^\[revision\][^\[]*`)

func withoutRevision(text []byte) []byte {
	rest := revisionSection.ReplaceAll(text, nil)
	return append(bytes.TrimRight(rest, "\n"), '\n')
}

func withRevision(body []byte, r wagdocument.Revision) []byte {
	var b strings.Builder
	b.Write(body)
	fmt.Fprintf(&b, "\n[revision]\nnumber = %d\nwriter = %s\nsequence = %d\nepoch = %d\n", r.Number, r.Writer, r.Sequence, r.Epoch)
	return []byte(b.String())
}
