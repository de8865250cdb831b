// Package wagtls builds the TLS configurations of an entry host from certificate
// files. It reloads the files when they change.
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
	// checkInterval is the shortest time between two checks for changed files.
	checkInterval = 2 * time.Second
	// maxFileBytes bounds a certificate, key or authority file.
	maxFileBytes = 1 << 20
)

// ReloadReporter is called after changed files have been read. The error is nil when
// the new files are in use. Otherwise they are invalid and the former ones stay in
// use.
type ReloadReporter func(err error)

// Option sets a property of an Identity.
type Option func(*Identity)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option {
	return func(i *Identity) { i.clock = c }
}

// WithReloadReporter sets the function that is called after changed files have been
// read.
func WithReloadReporter(r ReloadReporter) Option {
	return func(i *Identity) { i.report = r }
}

// Identity is a certificate with its key and, for mutual TLS, the authority that the
// certificate of the other side is checked against.
type Identity struct {
	files  files
	clock  wagclock.Clock
	report ReloadReporter

	mu sync.Mutex
	// current holds the contents of the latest files that were valid together.
	current *credentials
	// lastStamps describes the files when they were last read, so that invalid files
	// are reported once.
	lastStamps [3]fileStamp
	// nextCheck is the earliest time of the next check for changes.
	nextCheck time.Time
}

// files names the PEM files. authority is empty for the caller port.
type files struct {
	certificate, key, authority string
}

func (f files) names() []string {
	if f.authority == "" {
		return []string{f.certificate, f.key}
	}
	return []string{f.certificate, f.key, f.authority}
}

// fileStamp identifies a version of a file. It is zero for a file that cannot be
// read.
type fileStamp struct {
	modified time.Time
	size     int64
}

// credentials holds the decoded contents of files.
type credentials struct {
	certificate tls.Certificate
	// authority is nil for the caller port.
	authority *x509.CertPool
}

// LoadMutual loads the identity for peers and operators. It returns nil when the
// settings name no certificate.
func LoadMutual(s wagsettings.TLS, opts ...Option) (*Identity, error) {
	return loadIdentity(files{certificate: s.Certificate, key: s.Key, authority: s.Authority}, opts)
}

// LoadCaller loads the identity of the caller port. It returns nil when the settings
// name no certificate for it.
func LoadCaller(s wagsettings.TLS, opts ...Option) (*Identity, error) {
	return loadIdentity(files{certificate: s.CallerCertificate, key: s.CallerKey}, opts)
}

func loadIdentity(f files, opts []Option) (i *Identity, err error) {
	if f.certificate == "" {
		return nil, nil
	}
	defer func() { err = errors.WithMessage(err, "load certificates") }()
	i = &Identity{files: f, clock: wagclock.System{}, report: func(error) {}}
	for _, o := range opts {
		o(i)
	}
	i.lastStamps = f.stamps()
	i.nextCheck = i.clock.Now().Add(checkInterval)
	i.current, err = f.loadCredentials()
	if err != nil {
		return nil, err
	}
	return i, nil
}

// ServerConfig returns the configuration of a listener. With an authority, a client
// needs a certificate that the authority has issued.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := i.latestCredentials()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{loaded.certificate}, Time: i.clock.Now}
			if loaded.authority != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, loaded.authority
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration for connections to peers. It checks the
// chain of the peer's certificate, but not the name in it: peers are known by
// address, and addresses change with every start.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain instead, against the authority in use at
		// the time of the handshake.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verifyPeer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c := i.latestCredentials().certificate
			return &c, nil
		},
	}
}

// verifyPeer checks the chain of a peer's certificate against the authority.
func (i *Identity) verifyPeer(state tls.ConnectionState) (err error) {
	defer func() { err = errors.WithMessage(err, "verify the peer's certificate") }()
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	loaded := i.latestCredentials()
	if loaded.authority == nil {
		return errors.New("the settings name no authority")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: loaded.authority, Intermediates: intermediates, CurrentTime: i.clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// latestCredentials returns the credentials in use. It first reloads the files if they
// have changed since the last check. While files are invalid, or do not fit together
// because they are being replaced, the former credentials stay in use.
func (i *Identity) latestCredentials() *credentials {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	if now.Before(i.nextCheck) {
		return i.current
	}
	i.nextCheck = now.Add(checkInterval)
	stamps := i.files.stamps()
	if stamps == i.lastStamps {
		return i.current
	}
	i.lastStamps = stamps
	loaded, err := i.files.loadCredentials()
	if err == nil {
		i.current = loaded
	}
	i.report(errors.WithMessage(err, "reload certificates"))
	return i.current
}

// stamps returns the stamps of the files in the order of names.
func (f files) stamps() (stamps [3]fileStamp) {
	for n, name := range f.names() {
		// A file that cannot be read keeps the zero stamp; loadCredentials returns the
		// error.
		if info, err := os.Stat(name); err == nil {
			stamps[n] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

func (f files) loadCredentials() (*credentials, error) {
	texts := make([][]byte, 0, 3)
	for _, name := range f.names() {
		text, err := readFile(name)
		if err != nil {
			return nil, err
		}
		texts = append(texts, text)
	}
	loaded := &credentials{}
	var err error
	loaded.certificate, err = tls.X509KeyPair(texts[0], texts[1])
	if err != nil {
		return nil, errors.WithMessagef(err, "certificate %s with key %s", f.certificate, f.key)
	}
	if f.authority == "" {
		return loaded, nil
	}
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(texts[2]) {
		return nil, errors.Errorf("authority %s contains no PEM certificate", f.authority)
	}
	return loaded, nil
}

// readFile reads a file of at most maxFileBytes.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("file %s is longer than %d bytes", name, maxFileBytes)
	}
	return os.ReadFile(name)
}
