//go:build linux

package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// authority issues certificates to hosts and operators.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// identityFiles are the PEM files of an identity.
type identityFiles struct{ certificate, key, authority string }

// certificateTemplate returns a certificate that is not signed yet.
func certificateTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(is *is.I) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := certificateTemplate(1)
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	is.NoErr(err)
	c, err = x509.ParseCertificate(der)
	is.NoErr(err)
	return authority{certificate: c, key: key}
}

// issue creates an identity and writes it to files with the given name.
func (a authority) issue(is *is.I, s *site, name string, serial int64) identityFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	certificateDER, err := x509.CreateCertificate(rand.Reader, certificateTemplate(serial), a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return identityFiles{
		certificate: s.writeFile(name+".crt", encodePEM("CERTIFICATE", certificateDER)),
		key:         s.writeFile(name+".key", encodePEM("EC PRIVATE KEY", keyDER)),
		authority:   s.writeFile(name+".ca", encodePEM("CERTIFICATE", a.certificate.Raw)),
	}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// settingsSection returns the TLS section of a host's settings.
func (f identityFiles) settingsSection() string {
	return fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n", f.certificate, f.key, f.authority)
}

// client returns a client that presents the certificate of the identity.
func (f identityFiles) client(is *is.I, a authority) *http.Client {
	certificate, err := tls.LoadX509KeyPair(f.certificate, f.key)
	is.NoErr(err)
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: a.tlsConfig(certificate)}}
}

// tlsConfig returns a configuration that verifies hosts against the authority. It does not
// verify names, because the certificates of hosts carry none.
func (a authority) tlsConfig(certificates ...tls.Certificate) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certificates, InsecureSkipVerify: true, VerifyConnection: func(c tls.ConnectionState) error {
		_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool})
		return err
	}}
}

// certificateSerial returns the serial number of the certificate on the operator port.
func (h *host) certificateSerial(c *http.Client) (serial int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+h.operator+"/ready", nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.New(resp.Status)
	}
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), nil
}

// waitCertificate waits until a host is ready and presents the certificate with a serial
// number.
func (s *site) waitCertificate(h *host, c *http.Client, want int64) {
	s.t.Helper()
	eventually(s.t, h.name+" presents its certificate", func() error {
		got, err := h.certificateSerial(c)
		if err == nil && got != want {
			err = errors.Errorf("serial %d, wanted %d", got, want)
		}
		return err
	})
}

// Guards against plain or untrusted connections to the ports for hosts and operators, and
// against certificates that are replaced only after a restart.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.putDocument("shop.ini", shopDocument)
	trusted := newAuthority(is)
	operator := trusted.issue(is, s, "operator", 2)
	client := operator.client(is, trusted)
	var hosts []*host
	for n, name := range []string{"a", "b"} {
		f := trusted.issue(is, s, name, int64(10+n))
		hosts = append(hosts, s.startHost(name, "east", nil, f.settingsSection()))
	}
	for n, h := range hosts {
		s.waitCertificate(h, client, int64(10+n))
		s.waitServing(h) // one of the two hosts forwards
		s.checkRefusesUntrusted(is, h, trusted)
	}
	s.checkCommandsWithCertificate(is, hosts, operator)
	for n, h := range hosts {
		trusted.issue(is, s, h.name, int64(20+n))
	}
	for n, h := range hosts {
		s.waitCertificate(h, client, int64(20+n))
		s.waitServing(h)
	}
	// A new host joins by mutual TLS while the others use replaced certificates.
	joined := s.startHost("c", "east", nil, trusted.issue(is, s, "c", 30).settingsSection())
	s.waitCertificate(joined, client, 30)
	s.waitServing(joined)
	s.checkCommandsWithCertificate(is, append(hosts, joined), operator)
}

// checkRefusesUntrusted checks that all ports but the caller port refuse plain connections,
// and that the operator port refuses clients without a certificate or with one of another
// authority.
func (s *site) checkRefusesUntrusted(is *is.I, h *host, trusted authority) {
	for _, address := range []string{h.operator, h.forward, h.peer} {
		r := do(context.Background(), request{method: http.MethodGet, url: "http://" + address + "/ready"})
		is.True(r.err != nil || r.status == http.StatusBadRequest && strings.Contains(r.body, "HTTPS"))
	}
	foreign := newAuthority(is).issue(is, s, "foreign", 3)
	anonymous := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: trusted.tlsConfig()}}
	for _, c := range []*http.Client{anonymous, foreign.client(is, trusted)} {
		_, err := h.certificateSerial(c)
		is.True(err != nil)
	}
}

// checkCommandsWithCertificate checks that the command line reads the status and the
// timeline of hosts with a certificate, and no status without one.
func (s *site) checkCommandsWithCertificate(is *is.I, hosts []*host, f identityFiles) {
	tlsFlags := []string{"--certificate", f.certificate, "--key", f.key, "--authority", f.authority}
	for _, h := range hosts {
		statusArgs := append([]string{"document", "status", "--store", s.store.address, "--operator", h.operator}, tlsFlags...)
		out, status := run(s.t, append(statusArgs, "shop")...)
		is.Equal(status, 0)
		is.True(strings.Contains(out, h.name+" in east has revision "))
		out, status = run(s.t, append([]string{"timeline", "--operator", h.operator, "--kind", "start"}, tlsFlags...)...)
		is.Equal(status, 0)
		is.True(strings.Contains(out, h.name))
		out, _ = run(s.t, "document", "status", "--store", s.store.address, "--operator", h.operator, "shop")
		is.True(!strings.Contains(out, "has revision")) // plain connections are refused
	}
}
