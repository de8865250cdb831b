// Package wagpublish writes the documents of services to the store and reads their
// state at the hosts, for operators.
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

// DocumentPrefix is the prefix of the store keys of documents.
const DocumentPrefix = "documents/"

// ErrUnchanged is returned for a document that equals the one in the store.
var ErrUnchanged = errors.New("the document in the store is the same")

// ConflictError is returned when another operator changed the document first.
type ConflictError struct {
	Service string
	// Base is the revision that the refused change is based on.
	Base wagdocument.Revision
	// Stored is the revision in the store.
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

// Publisher writes documents on behalf of one operator.
type Publisher struct {
	store  wagstore.Store
	writer string
	now    func() time.Time
}

// New returns a publisher that writes revisions under the name of a writer. No two
// processes may use the same name: after a lost response, the publisher reads the
// document back to tell whether its own write took effect.
func New(store wagstore.Store, writer string, now func() time.Time) *Publisher {
	return &Publisher{store: store, writer: writer, now: now}
}

// Result describes a change of a document.
type Result struct {
	Document *wagdocument.Document
	// Diff is the unified diff to the version that is replaced.
	Diff string
	// ReadBack is set when the response of the store was lost and the document was
	// found there afterwards.
	ReadBack bool
}

// PreparedChange is a change that was validated and is not written yet.
type PreparedChange struct {
	Result
	// current is the store object that the change replaces.
	current wagstore.Object
}

// Prepare validates a document and compares it with the one in the store. If the
// text contains a revision and the store holds another one, Prepare returns a
// *ConflictError.
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
	if startsNewEpoch(current) {
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

// Commit writes a prepared change if the store still holds the object that it was
// prepared against, and returns a *ConflictError if not. After a lost response it
// reads the document back.
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
		return Result{}, p.conflictError(ctx, c)
	}
	if err != nil {
		return Result{}, err
	}
	// A version that is missing in the history is added by the next Commit.
	_ = p.addToHistory(ctx, c)
	return c.Result, nil
}

// conflictError returns a *ConflictError with the revision in the store.
func (p *Publisher) conflictError(ctx context.Context, c PreparedChange) error {
	conflict := &ConflictError{Service: c.Document.Service.Name, Base: storedRevision(c.current)}
	stored, err := p.store.Get(ctx, DocumentPrefix+c.Document.Service.Name)
	if err != nil {
		return err
	}
	conflict.Stored = storedRevision(stored)
	return conflict
}

// storedRevision returns the revision of a store object, or the zero revision if
// the object does not contain a readable one.
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

// startsNewEpoch reports whether a document that replaces an object starts a new
// epoch: if there is no object, or it is a deletion. An object that cannot be read
// counts as one, because it may have been one.
func startsNewEpoch(o wagstore.Object) bool {
	d, err := wagdocument.Parse(o.Key, o.Value)
	return len(o.Value) == 0 || err != nil || d.Service.Deleted
}

var revisionSection = regexp.MustCompile(`(?ms)^\[revision\][^\[]*`)

// withoutRevision returns a document without its revision section.
func withoutRevision(text []byte) []byte {
	rest := revisionSection.ReplaceAll(text, nil)
	return append(bytes.TrimRight(rest, "\n"), '\n')
}

// withRevision returns a document with a revision section added.
func withRevision(body []byte, r wagdocument.Revision) []byte {
	var b strings.Builder
	b.Write(body)
	fmt.Fprintf(&b, "\n[revision]\nnumber = %d\nwriter = %s\nsequence = %d\nepoch = %d\n", r.Number, r.Writer, r.Sequence, r.Epoch)
	return []byte(b.String())
}
