package wagpublish

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// historyPrefix is the prefix of the store keys of document histories.
const historyPrefix = "history/"

const (
	// maxHistoryVersions bounds the versions in the history of one document.
	maxHistoryVersions = 32
	// maxHistoryBytes bounds the texts in the history of one document, because a
	// value of the store has at most 1 MB.
	maxHistoryBytes = 768 << 10
)

// HistoryEntry is one version in the history of a document.
type HistoryEntry struct {
	Number int64  `json:"number"`
	Writer string `json:"writer"`
	// Written is the time that the revision number was made from.
	Written time.Time `json:"written"`
	Text    string    `json:"text"`
}

// History returns the kept versions of a document, oldest first.
func (p *Publisher) History(ctx context.Context, service string) (versions []HistoryEntry, err error) {
	defer func() { err = errors.WithMessage(err, "read document history") }()
	versions, _, err = p.readHistory(ctx, service)
	return versions, err
}

// readHistory returns the kept versions of a document, oldest first, and the
// version of the store object that holds them.
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

// addToHistory adds the version that was replaced and the new one to the history.
func (p *Publisher) addToHistory(ctx context.Context, c PreparedChange) error {
	service := c.Document.Service.Name
	versions, objectVersion, err := p.readHistory(ctx, service)
	if err != nil {
		return err
	}
	if len(c.current.Value) > 0 {
		versions = addVersion(versions, storedRevision(c.current), c.current.Value)
	}
	versions = addVersion(versions, c.Document.Revision, c.Document.Text)
	value, err := json.Marshal(trimHistory(versions))
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, historyPrefix+service, value, objectVersion)
	return err
}

// addVersion adds a version unless the history already contains its revision.
func addVersion(versions []HistoryEntry, r wagdocument.Revision, text []byte) []HistoryEntry {
	for _, v := range versions {
		if v.Number == r.Number {
			return versions
		}
	}
	return append(versions, HistoryEntry{Number: r.Number, Writer: r.Writer, Written: time.UnixMilli(r.Number).UTC(), Text: string(text)})
}

// trimHistory drops the oldest versions beyond the bounds of a history.
func trimHistory(versions []HistoryEntry) []HistoryEntry {
	size, first := 0, len(versions)
	for first > 0 && len(versions)-first < maxHistoryVersions {
		size += len(versions[first-1].Text)
		if size > maxHistoryBytes {
			break
		}
		first--
	}
	return versions[first:]
}
