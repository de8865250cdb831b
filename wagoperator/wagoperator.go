// Package wagoperator is the client of the operator ports of entry hosts.
package wagoperator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Client reads JSON responses from operator ports.
type Client struct {
	http   *http.Client
	scheme string
}

// Option sets a property of a Client.
type Option func(*Client)

// WithTLS makes the client use TLS with the given configuration.
func WithTLS(c *tls.Config) Option {
	return func(o *Client) {
		o.scheme = "https"
		o.http.Transport = &http.Transport{TLSClientConfig: c}
	}
}

// New returns a client. Without WithTLS it uses plain HTTP.
func New(opts ...Option) *Client {
	c := &Client{http: &http.Client{}, scheme: "http"}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Request says what to read from which host.
type Request struct {
	// Address is the operator port of the host.
	Address netip.AddrPort
	Path    string
	// MaxBytes bounds the body of the response.
	MaxBytes int64
	Deadline time.Time
}

// Read sends a GET request to a host and decodes the JSON response into target.
func (c *Client) Read(ctx context.Context, r Request, target any) (err error) {
	defer func() { err = errors.WithMessagef(err, "read %s of host %s", r.Path, r.Address) }()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+r.Address.String()+r.Path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %s", resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, r.MaxBytes)).Decode(target)
}
