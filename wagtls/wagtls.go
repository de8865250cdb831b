// Package wagtls makes the TLS configurations of an entry host from certificate
// files, which it reads again when they change.
package wagtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagsettings"
)

const (
	// checkInterval bounds how often the files are looked at.
	checkInterval = 2 * time.Second
	// maxFile bounds a certificate, key or authority file in bytes.
	maxFile = 1 << 20
)

// ReloadReporter takes the change of state that a reload brings: nil when new files
// are in use, an error when they are broken and the old ones stay in use.
type ReloadReporter func(err error)

// Option sets a property of an Identity.
type Option func(*Identity)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option {
	return func(i *Identity) { i.clock = c }
}

// WithReloadReporter sets who is told of reloads.
func WithReloadReporter(r ReloadReporter) Option {
	return func(i *Identity) { i.report = r }
}

// Identity is a certificate with its key and, for mutual TLS, the authority
// that the other side is checked against.
type Identity struct {
	files  files
	clock  wagclock.Clock
	report ReloadReporter

	mu sync.Mutex
	// current holds the latest files that were valid together.
	current *material
	// seen describes the files at the latest attempt to read them, so that
	// broken files are reported once.
	seen [3]stamp
	// nextCheck is when the files are looked at again.
	nextCheck time.Time
}

type files struct {
	certificate, key, authority string
}

func (f files) list() []string {
	if f.authority == "" {
		return []string{f.certificate, f.key}
	}
	return []string{f.certificate, f.key, f.authority}
}

// stamp tells a changed file from an unchanged one.
type stamp struct {
	modified time.Time
	size     int64
}

type material struct {
	certificate tls.Certificate
	// authority is nil for the caller port.
	authority *x509.CertPool
}

// LoadMutual returns the identity for peers and operators, or nil when the settings
// name no certificate.
func LoadMutual(s wagsettings.TLS, opts ...Option) (*Identity, error) {
	return load(files{certificate: s.Certificate, key: s.Key, authority: s.Authority}, opts)
}

// LoadCaller returns the identity of the caller port, or nil when the settings name
// no certificate for it.
func LoadCaller(s wagsettings.TLS, opts ...Option) (*Identity, error) {
	return load(files{certificate: s.CallerCertificate, key: s.CallerKey}, opts)
}

func load(f files, opts []Option) (i *Identity, err error) {
	if f.certificate == "" {
		return nil, nil
	}
	defer func() { err = errors.WithMessage(err, "load certificates") }()
	i = &Identity{files: f, clock: wagclock.System{}, report: func(error) {}}
	for _, o := range opts {
		o(i)
	}
	i.seen = f.stamps()
	i.nextCheck = i.clock.Now().Add(checkInterval)
	i.current, err = f.read()
	if err != nil {
		return nil, err
	}
	return i, nil
}

// ServerConfig returns the configuration of a listener. With an authority it refuses
// callers that have no certificate of it.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := i.latest()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}, Time: i.clock.Now}
			if m.authority != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.authority
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration for calls to peers. Peers are known by
// address, and addresses change with every start, so the chain is checked and
// the name in the certificate is not.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain instead, against the authority that
		// is in use at the time of the handshake.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c := i.latest().certificate
			return &c, nil
		},
	}
}

func (i *Identity) verify(state tls.ConnectionState) (err error) {
	defer func() { err = errors.WithMessage(err, "verify the peer's certificate") }()
	if len(state.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	m := i.latest()
	if m.authority == nil {
		return errors.New("no authority")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: m.authority, Intermediates: intermediates, CurrentTime: i.clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// latest reads changed files again. Files that are broken, or that do not fit
// together while they are being replaced, leave the former ones in use.
func (i *Identity) latest() *material {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	if now.Before(i.nextCheck) {
		return i.current
	}
	i.nextCheck = now.Add(checkInterval)
	stamps := i.files.stamps()
	if stamps == i.seen {
		return i.current
	}
	i.seen = stamps
	m, err := i.files.read()
	if err == nil {
		i.current = m
	}
	i.report(errors.WithMessage(err, "load changed certificates"))
	return i.current
}

func (f files) stamps() (stamps [3]stamp) {
	for n, name := range f.list() {
		// A file that cannot be read has the zero stamp; read reports it.
		if info, err := os.Stat(name); err == nil {
			stamps[n] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

func (f files) read() (*material, error) {
	texts := make([][]byte, 0, 3)
	for _, name := range f.list() {
		text, err := readFile(name)
		if err != nil {
			return nil, err
		}
		texts = append(texts, text)
	}
	m := &material{}
	var err error
	m.certificate, err = tls.X509KeyPair(texts[0], texts[1])
	if err != nil {
		return nil, errors.WithMessagef(err, "%s with %s", f.certificate, f.key)
	}
	if f.authority == "" {
		return m, nil
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(texts[2]) {
		return nil, errors.Errorf("%s holds no certificate in PEM", f.authority)
	}
	return m, nil
}

func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile {
		return nil, errors.Errorf("%s is longer than %d bytes", name, maxFile)
	}
	return os.ReadFile(name)
}
