package wagroster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hosts that cannot tell that they are cut off, and against hosts that
// count those which have left.
func TestOwnShare(t *testing.T) {
	is := is.New(t)
	r := New(Member{Name: "h2", DataCentre: "a"})
	is.Equal(r.OwnShare(), OwnShare{Index: 0, Hosts: 1, HasMost: true})
	r.UpdateFromOthers([]Member{
		{Name: "h1", DataCentre: "a", Generation: 1}, {Name: "h3", DataCentre: "a", Generation: 1}, {Name: "h4", DataCentre: "a", Generation: 1}, {Name: "h0", DataCentre: "b", Generation: 1},
	})
	is.Equal(r.OwnShare(), OwnShare{Index: 1, Hosts: 4, HasMost: true})
	r.MarkUnreachable(time.Unix(1, 0), "h1")
	r.MarkUnreachable(time.Unix(1, 0), "h3")
	is.True(r.OwnShare().HasMost)
	r.MarkUnreachable(time.Unix(1, 0), "h4")
	is.True(!r.OwnShare().HasMost)
	r.UpdateFromMember(Member{Name: "h1", DataCentre: "a", Generation: 1, Leaving: true})
	is.Equal(r.OwnShare().Hosts, 3)
}
