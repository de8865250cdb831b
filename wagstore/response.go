package wagstore

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxListBytes bounds the body of the response to a list or a watch.
	maxListBytes = 64 << 20
	// maxKeyBytes bounds the key of an object.
	maxKeyBytes = 1024
	// maxCursorBytes bounds the cursor of a list or a watch.
	maxCursorBytes = 256
)

// strongEntityTag matches a strong entity tag (RFC 9110, section 8.8.3). Weak
// tags are rejected, because If-Match does not accept them.
var strongEntityTag = regexp.MustCompile(`^"[!#-~]{1,128}"$`)

// response is a response of the store whose body was read to the end.
type response struct {
	status int
	header http.Header
	body   []byte
}

// entityTag returns the version from the ETag header.
func (r *response) entityTag() (Version, error) {
	return parseVersion(r.header.Get("ETag"))
}

// parseVersion checks that a version is a strong entity tag.
func parseVersion(tag string) (Version, error) {
	if !strongEntityTag.MatchString(tag) {
		return "", &InvalidResponseError{Reason: "the entity tag is absent, weak or malformed"}
	}
	return Version(tag), nil
}

// objects decodes the response to a list or a watch and checks it.
func (r *response) objects(prefix string) ([]Object, Cursor, error) {
	cursor := r.header.Get(CursorHeader)
	if cursor == "" || len(cursor) > maxCursorBytes {
		return nil, "", &InvalidResponseError{Reason: "the cursor is absent or too long"}
	}
	var wire []WireObject
	if err := json.Unmarshal(r.body, &wire); err != nil {
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

// object checks the object and returns it.
func (w WireObject) object(prefix string) (Object, error) {
	if !strings.HasPrefix(w.Key, prefix) || w.Key == "" || len(w.Key) > maxKeyBytes {
		return Object{}, &InvalidResponseError{Reason: "a key is outside the prefix or too long"}
	}
	if len(w.Value) > MaxValueBytes {
		return Object{}, &InvalidResponseError{Reason: "a value is too long"}
	}
	v, err := parseVersion(w.Version)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: w.Key, Value: w.Value, Version: v, Deleted: w.Deleted}, nil
}

// statusError converts the status of a response to an error. The outcome of a
// write is unknown when the status does not show whether it took effect.
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
