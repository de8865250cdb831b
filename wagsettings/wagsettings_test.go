package wagsettings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagini"
)

// Guards against defaults that are not allowed, and against defaults that change by
// accident.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("host.ini", nil)
	is.NoErr(err)
	is.Equal(s.Store.Rate, 200.0)
	is.Equal(s.Store.Concurrency, 8)
	is.Equal(s.Store.WatchWait, 3*time.Second)
	is.Equal(s.Peers.Connections, 256)
	is.Equal(s.Peers.CallTime, 2*time.Second)
	is.True(s.Listen.Peer.Addr().IsLoopback())
}

// Guards against errors that do not name the file, line, section and key of the
// fault and the values that are allowed there.
func TestErrorsNameSectionAndKey(t *testing.T) {
	cases := []struct{ section, key, value string }{
		{"store", "rate", "0"},
		{"store", "concurrency", "0"},
		{"store", "watchWait", "2h"},
		{"store", "address", "store.example:7070"},
		{"peers", "connections", "many"},
		{"peers", "callTime", "1ms"},
		{"peers", "seeds", "10.0.0.1"},
		{"tls", "certificate", "host.pem"},
		{"tls", "callerCertificate", "caller.pem"},
		{"listen", "caller", "0.0.0.0:80"},
		{"listen", "peer", "10.0.0.1:8082"},
		{"listen", "insecure", "yes"},
		{"terms", "keys", "short"},
		{"log", "level", "loud"},
		{"host", "name", "Entry_1"},
		{"store", "unknown", "1"},
	}
	for _, tc := range cases {
		t.Run(tc.section+"."+tc.key, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("host.ini", []byte("["+tc.section+"]\n"+tc.key+" = "+tc.value+"\n"))
			var settingError *wagini.Error
			is.True(errors.As(err, &settingError))
			is.Equal(settingError.File, "host.ini")
			is.Equal(settingError.Section, tc.section)
			is.Equal(settingError.Key, tc.key)
			is.Equal(settingError.Value, tc.value)
			is.Equal(settingError.Line, 2)
			is.True(settingError.Allowed != "")
		})
	}
}

// Guards against ports outside loopback without a certificate. That of the peer port
// does not cover the caller port.
func TestPortsOutsideLoopbackNeedCertificates(t *testing.T) {
	is := is.New(t)
	peerTLS := "[listen]\npeer = 10.0.0.1:8082\n[tls]\ncertificate = c\nkey = k\nauthority = a\n"
	_, err := Parse("host.ini", []byte(peerTLS))
	is.NoErr(err)
	_, err = Parse("host.ini", []byte(strings.Replace(peerTLS, "peer", "caller", 1)))
	is.True(err != nil)
	_, err = Parse("host.ini", []byte("[listen]\ncaller = 10.0.0.1:80\ninsecure = true\n"))
	is.NoErr(err)
}

// Guards against texts that make the decoder panic, and against accepted settings
// with values out of bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[host]\nname = entry\n[store]\nrate = 5\n"))
	f.Add([]byte("[tls]\ncertificate = c\nkey = k\nauthority = a\n[listen]\ncaller = [::1]:1\n"))
	f.Add([]byte("[store]\nrate = NaN\n"))
	f.Add([]byte("[store\n=\n\"\"\"\\"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("host.ini", text)
		if err == nil && !(s.Store.Rate > 0 && s.Store.Concurrency > 0 && s.Peers.Connections > 0) {
			t.Errorf("accepted settings out of bounds: %+v", s)
		}
	})
}
