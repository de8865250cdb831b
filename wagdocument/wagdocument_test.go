package wagdocument

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a minimal document that is rejected, and against defaults that
// change by accident.
func TestDefaultsOfMinimalDocument(t *testing.T) {
	is := is.New(t)
	d, err := Parse("lot-desk.ini", []byte("[service]\nname = lot-desk\nslots = 2\n"))
	is.NoErr(err)
	is.Equal(d.Service.Name, "lot-desk")
	is.Equal(d.Service.Prefix, "/lot-desk")
	is.Equal(d.Service.Slots, 2)
	is.Equal(d.Service.Connections, 240)
	is.Equal(d.Service.Deadline, 2*time.Second)
	is.Equal(d.Service.MaxDeadline, 10*time.Minute)
	is.Equal(d.Service.DrainTime, 30*time.Second)
	is.Equal(d.Service.RampTime, 5*time.Second)
	is.Equal(d.Limits.Queue, 1024)
	is.Equal(d.Limits.LongShare, 0.5)
	is.Equal(d.Retries.Share, 0.1)
	is.Equal(d.Retries.Attempts, 3)
	is.Equal(d.Retries.Hedge, false)
	is.True(d.Match("GET", "/lot-desk/lots").Repeatable)
	is.True(!d.Match("POST", "/lot-desk/lots").Repeatable)
}

// Guards against texts that make the decoder panic, and against accepted documents
// without a name or with values out of bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[service]\nname = lot-desk\n"))
	f.Add([]byte("[service]\nname = a\n[route \"lots\"]\nmethod = GET\npath = /lots/*\nclass = long\n"))
	f.Add([]byte("[service]\nname = a\n[zone \"a b\"]\ncost = 3ms\n[limits]\nlongShare = NaN\n"))
	f.Add([]byte("[route \"\n[revision]\nnumber = -1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("a.ini", text)
		if err != nil {
			return
		}
		if d.Service.Name == "" || d.Service.Slots < 1 || !(d.Limits.LongShare > 0 && d.Limits.LongShare <= 1) {
			t.Errorf("accepted document out of bounds: %+v", d.Service)
		}
	})
}
