package wagsync

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// Guards against a store that goes back, or an update that is dropped, without a line in
// the log, so that stale hosts cannot be told from current ones.
func TestDroppedUpdatesAreLogged(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	log.SetFormatter(&logrus.JSONFormatter{})
	s := New(newStore(), func(Change) {}, []string{"config"}, WithLog(log))
	s.Apply(wagmirror.Update{Kind: "config", Full: true, At: 9})
	s.Apply(wagmirror.Update{Kind: "config", Since: 11, At: 12, From: "edge-1"})
	is.True(strings.Contains(text.String(), `"from":"edge-1"`))
	is.True(strings.Contains(text.String(), `"reason":"gap"`))
	is.True(strings.Contains(text.String(), `"knownRevision":9`))
	for range 100 {
		s.Apply(wagmirror.Update{Kind: "config", Full: true, At: 4})
	}
	is.Equal(s.DroppedUpdates(), uint64(101))
	is.True(strings.Count(text.String(), "dropped an update") < 10) // bounded volume
}

// Guards against a change that is not attributed to the host that sent it.
func TestChangeNamesItsSender(t *testing.T) {
	is := is.New(t)
	var got Change
	s := New(newStore(), func(c Change) { got = c }, []string{"config"})
	s.Apply(wagmirror.Update{Kind: "config", Full: true, At: 9, From: "edge-1", Records: []wagmirror.Record{{Kind: "config", Name: "main", Revision: 9, Body: []byte("1")}}})
	is.Equal(got.From, "edge-1")
	is.Equal(len(got.Records), 1)
	is.True(s.ConfirmedAt().Equal(time.Time{}))
}
