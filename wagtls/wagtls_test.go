package wagtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagsettings"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: start.Add(-time.Hour), NotAfter: start.AddDate(20, 0, 0),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(is *is.I) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	t := newTemplate(1)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	is.NoErr(err)
	c, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return authority{certificate: c, key: key}
}

// issue writes a new certificate, its key and the authority to the files of s and
// sets their modification time.
func (a authority) issue(is *is.I, s wagsettings.TLS, serial int64, modified time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, newTemplate(serial), a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	writePEM(is, s.Certificate, "CERTIFICATE", der, modified)
	writePEM(is, s.Key, "EC PRIVATE KEY", keyDER, modified)
	writePEM(is, s.Authority, "CERTIFICATE", a.certificate.Raw, modified)
}

func writePEM(is *is.I, name, blockType string, der []byte, modified time.Time) {
	is.NoErr(os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	is.NoErr(os.Chtimes(name, modified, modified))
}

func newSettings(t *testing.T) wagsettings.TLS {
	d := t.TempDir()
	return wagsettings.TLS{Certificate: filepath.Join(d, "c"), Key: filepath.Join(d, "k"), Authority: filepath.Join(d, "a")}
}

// handshake connects a client to a server. It returns the serial number of the
// server's certificate, or the error of either side.
func handshake(server, client *tls.Config) (int64, error) {
	// Both sides may write at the same time, so the connection needs the buffers of a
	// socket.
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	var group errgroup.Group
	group.Go(func() error {
		s, err := l.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		_, err = s.Write([]byte("x"))
		return err
	})
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return 0, err
	}
	c := tls.Client(conn, client)
	// In TLS 1.3 a client sees only when it reads that the server rejected it.
	_, err = c.Read(make([]byte, 1))
	_ = conn.Close()
	if refused := group.Wait(); refused != nil {
		return 0, refused
	}
	if err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against connections between hosts of different authorities, from clients
// without a certificate, and with a TLS version below 1.3.
func TestPeersNeedCertificateOfAuthority(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(start)
	authorityA, authorityB := newAuthority(is), newAuthority(is)
	settingsA, settingsB := newSettings(t), newSettings(t)
	authorityA.issue(is, settingsA, 10, start)
	authorityB.issue(is, settingsB, 20, start)
	a, err := LoadMutual(settingsA, WithClock(clock))
	is.NoErr(err)
	b, err := LoadMutual(settingsB, WithClock(clock))
	is.NoErr(err)

	serial, err := handshake(a.ServerConfig(), a.ClientConfig())
	is.NoErr(err)
	is.Equal(serial, int64(10))
	_, err = handshake(a.ServerConfig(), b.ClientConfig())
	is.True(err != nil)
	_, err = handshake(b.ServerConfig(), a.ClientConfig())
	is.True(err != nil)
	_, err = handshake(a.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	is.True(err != nil)
	old := a.ClientConfig()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, err = handshake(a.ServerConfig(), old)
	is.True(err != nil)
}

// Guards against a renewed certificate that is used only after a restart, and against
// an invalid file that stops the port from accepting connections.
func TestChangedFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(start)
	ca, s := newAuthority(is), newSettings(t)
	ca.issue(is, s, 10, start)
	var reports []error
	i, err := LoadMutual(s, WithClock(clock), WithReloadReporter(func(err error) { reports = append(reports, err) }))
	is.NoErr(err)
	serialAfter := func(step time.Duration) int64 {
		clock.Advance(step)
		serial, err := handshake(i.ServerConfig(), i.ClientConfig())
		is.NoErr(err)
		return serial
	}
	ca.issue(is, s, 11, start.Add(time.Second))
	is.Equal(serialAfter(checkInterval-1), int64(10))
	is.Equal(serialAfter(1), int64(11))
	is.Equal(len(reports), 1)
	is.NoErr(reports[0])

	is.NoErr(os.WriteFile(s.Certificate, []byte("broken"), 0o600))
	is.Equal(serialAfter(checkInterval), int64(11))
	is.Equal(serialAfter(checkInterval), int64(11))
	is.Equal(len(reports), 2)
	is.True(reports[1] != nil)
}

// Guards against a caller port that requires certificates of callers, and against TLS
// without a certificate in the settings.
func TestCallerPortAndPlainTCP(t *testing.T) {
	is := is.New(t)
	none, err := LoadMutual(wagsettings.TLS{})
	is.NoErr(err)
	is.True(none == nil)
	s := newSettings(t)
	newAuthority(is).issue(is, s, 10, start)
	i, err := LoadCaller(wagsettings.TLS{CallerCertificate: s.Certificate, CallerKey: s.Key}, WithClock(wagclock.NewManual(start)))
	is.NoErr(err)
	_, err = handshake(i.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	is.NoErr(err)
	_, err = LoadCaller(wagsettings.TLS{CallerCertificate: s.Certificate, CallerKey: "absent"})
	is.True(err != nil)
}
