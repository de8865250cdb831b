package wagpublish

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// historyPrefix is where earlier versions of documents lie in the store.
const historyPrefix = "history/"

// Bounds of the history of one document. Values of the store hold 1 MB.
const (
	historyLength = 32
	historyBytes  = 768 << 10
)

// HistoryEntry is one entry of a document's history.
type HistoryEntry struct {
	Number int64  `json:"number"`
	Writer string `json:"writer"`
	// Written is the wall clock that the revision number was made from.
	Written time.Time `json:"written"`
	Text    string    `json:"text"`
}

// History returns the kept versions of a document, oldest first.
func (p *Publisher) History(ctx context.Context, service string) (versions []HistoryEntry, err error) {
	defer func() { err = errors.WithMessage(err, "read history") }()
	versions, _, err = p.readHistory(ctx, service)
	return versions, err
}

func (p *Publisher) readHistory(ctx context.Context, service string) ([]HistoryEntry, wagstore.Version, error) {
	o, err := p.store.Get(ctx, historyPrefix+service)
	if errors.Is(err, wagstore.ErrNotFound) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	var versions []HistoryEntry
	if err := json.Unmarshal(o.Value, &versions); err != nil {
		return nil, "", err
	}
	return versions, o.Version, nil
}

// remember adds the replaced and the new version to the history.
func (p *Publisher) remember(ctx context.Context, c PreparedChange) error {
	service := c.Document.Service.Name
	versions, at, err := p.readHistory(ctx, service)
	if err != nil {
		return err
	}
	if len(c.current.Value) > 0 {
		versions = addVersion(versions, storedRevision(c.current), c.current.Value)
	}
	versions = addVersion(versions, c.Document.Revision, c.Document.Text)
	value, err := json.Marshal(boundHistory(versions))
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, historyPrefix+service, value, at)
	return err
}

func addVersion(versions []HistoryEntry, r wagdocument.Revision, text []byte) []HistoryEntry {
	for _, v := range versions {
		if v.Number == r.Number {
			return versions
		}
	}
	return append(versions, HistoryEntry{Number: r.Number, Writer: r.Writer, Written: time.UnixMilli(r.Number).UTC(), Text: string(text)})
}

func boundHistory(versions []HistoryEntry) []HistoryEntry {
	size, first := 0, len(versions)
	for first > 0 && len(versions)-first < historyLength {
		size += len(versions[first-1].Text)
		if size > historyBytes {
			break
		}
		first--
	}
	return versions[first:]
}
