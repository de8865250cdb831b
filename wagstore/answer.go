package wagstore

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxList bounds the answer to a list or a watch in bytes.
	maxList = 64 << 20
	// maxKey bounds a key in bytes.
	maxKey = 1024
	// maxCursor bounds a cursor in bytes.
	maxCursor = 256
)

// strongTag is a strong entity tag as in RFC 9110, section 8.8.3. A weak one
// cannot stand in If-Match and is refused.
var strongTag = regexp.MustCompile(`^"[!#-~]{1,128}"$`)

// answer is a complete answer of the store.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) version() (Version, error) {
	return checkVersion(a.header.Get("ETag"))
}

func checkVersion(tag string) (Version, error) {
	if !strongTag.MatchString(tag) {
		return "", &InvalidResponseError{Reason: "the entity tag is absent, weak or malformed"}
	}
	return Version(tag), nil
}

// objects decodes the answer to a list or a watch.
func (a *answer) objects(prefix string) ([]Object, Cursor, error) {
	cursor := a.header.Get(CursorHeader)
	if cursor == "" || len(cursor) > maxCursor {
		return nil, "", &InvalidResponseError{Reason: "the cursor is absent or too long"}
	}
	var wire []WireObject
	if err := json.Unmarshal(a.body, &wire); err != nil {
		return nil, "", &InvalidResponseError{Reason: err.Error()}
	}
	objects := make([]Object, 0, len(wire))
	for _, w := range wire {
		o, err := w.object(prefix)
		if err != nil {
			return nil, "", err
		}
		objects = append(objects, o)
	}
	return objects, Cursor(cursor), nil
}

func (w WireObject) object(prefix string) (Object, error) {
	if !strings.HasPrefix(w.Key, prefix) || w.Key == "" || len(w.Key) > maxKey {
		return Object{}, &InvalidResponseError{Reason: "a key is outside the prefix or too long"}
	}
	if len(w.Value) > MaxValueBytes {
		return Object{}, &InvalidResponseError{Reason: "a value is too long"}
	}
	v, err := checkVersion(w.Version)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: w.Key, Value: w.Value, Version: v, Deleted: w.Deleted}, nil
}

// statusError turns the status of an answer into an error. A write whose
// status does not tell whether it was taken has an unknown outcome.
func statusError(status int, write bool) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusGone:
		return ErrGap
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	}
	if write && status >= http.StatusInternalServerError {
		return errors.WithMessage(ErrUnknown, http.StatusText(status))
	}
	return errors.WithMessage(ErrUnavailable, http.StatusText(status))
}
