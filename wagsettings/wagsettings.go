// Package wagsettings defines the settings of an entry host. They are decoded from
// INI text, completed with defaults and checked once.
package wagsettings

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagini"
)

// maxWatchWait bounds watchWait, because the end of a watch confirms that the
// documents are fresh. It is half of wagrollout.MaxConfirmationAge, after which a
// host without a confirmation stops being ready.
const maxWatchWait = 5 * time.Second

var nameExpression = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Settings holds the settings of one entry host.
type Settings struct {
	Host     Host
	Listen   Listen
	Store    Store
	HostList HostList
	Peers    Peers
	TLS      TLS
	Terms    Terms
	Log      Log
}

// Host identifies the entry host and says how it stops.
type Host struct {
	// Name identifies the host among all hosts of the site.
	Name       string
	DataCentre string
	Region     string
	// StopTime bounds how long a graceful shutdown waits for in-flight requests.
	StopTime time.Duration
	// ReadyDelay is how long a stopping host fails its readiness check before it
	// closes its caller port.
	ReadyDelay time.Duration
}

// Listen holds the addresses that the host listens on.
type Listen struct {
	Caller   netip.AddrPort
	Forward  netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
	// Insecure permits addresses other than loopback without certificates.
	Insecure bool
}

// Store configures the client of the object store.
type Store struct {
	Address netip.AddrPort
	// Rate bounds the requests per second of all hosts together.
	Rate float64
	// Timeout bounds one request to the store.
	Timeout time.Duration
	// Concurrency bounds the in-flight requests of this host, apart from watches
	// and lease requests.
	Concurrency int
	// WatchWait is how long the store may hold a watch until there is a change.
	WatchWait time.Duration
}

// HostList says where and how often the platform's host list is read.
type HostList struct {
	Address netip.AddrPort
	// Interval is the time between two reads.
	Interval time.Duration
}

// Peers configures the connections between entry hosts.
type Peers struct {
	// Seeds lists the peer ports that are tried first while the store is down.
	Seeds []netip.AddrPort
	// Connections bounds the connections that other hosts may open to this one.
	Connections int
	// CallTime bounds one message to a peer, including the reply.
	CallTime time.Duration
}

// TLS names the PEM files of the certificates.
type TLS struct {
	// Certificate, Key and Authority serve the forward, peer and operator ports.
	// All three are set or none.
	Certificate string
	Key         string
	Authority   string
	// CallerCertificate and CallerKey serve the caller port. Both are set or none.
	CallerCertificate string
	CallerKey         string
}

// Terms holds the keys that sign the tokens of callers.
type Terms struct {
	// Keys lists the secrets. The first one signs tokens, and all verify them.
	Keys []string
}

// Log configures the log.
type Log struct {
	// Level is the lowest level that is written.
	Level string
	// Format is text or json.
	Format string
}

// Load reads a settings file and parses it.
func Load(file string) (s *Settings, err error) {
	defer func() { err = errors.WithMessage(err, "load settings") }()
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse decodes settings, applies the defaults and checks the values. The file
// name is used in errors only.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{}
	if err := wagini.Decode(file, text, Schema(s)); err != nil {
		return nil, err
	}
	if err := s.check(file, text); err != nil {
		return nil, err
	}
	return s, nil
}

// Schema returns the sections of the settings. Their keys store into s.
func Schema(s *Settings) []wagini.Section {
	secretExpression := regexp.MustCompile(`^[!-+\--~]{16,256}$`)
	pathExpression := regexp.MustCompile(`^[^\x00]*$`)
	return []wagini.Section{
		{Name: "host", Help: "Who the entry host is.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.Pattern("name", "entry", "Name of the host.", &s.Host.Name, nameExpression, "lower-case letters, digits and hyphens, at most 63"),
				wagini.Pattern("dataCentre", "dc1", "Data centre of the host.", &s.Host.DataCentre, nameExpression, "lower-case letters, digits and hyphens, at most 63"),
				wagini.Pattern("region", "region1", "Region of the data centre.", &s.Host.Region, nameExpression, "lower-case letters, digits and hyphens, at most 63"),
				wagini.Duration("stopTime", "60s", "How long a planned stop waits for calls in flight.", &s.Host.StopTime, 0, time.Hour),
				wagini.Duration("readyDelay", "2s", "How long a stopping host fails its readiness check before it closes its caller port.", &s.Host.ReadyDelay, 0, time.Minute),
			}
		}},
		{Name: "listen", Help: "Addresses the host listens on.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.AddrPort("caller", "127.0.0.1:8080", "Port for callers.", &s.Listen.Caller),
				wagini.AddrPort("forward", "127.0.0.1:8081", "Port for calls that other hosts forward.", &s.Listen.Forward),
				wagini.AddrPort("peer", "127.0.0.1:8082", "Port for control messages between hosts (drpc).", &s.Listen.Peer),
				wagini.AddrPort("operator", "127.0.0.1:8083", "Port for operators: readiness, metrics, events, status.", &s.Listen.Operator),
				wagini.Bool("insecure", "false", "Permits ports other than loopback without certificates.", &s.Listen.Insecure),
			}
		}},
		{Name: "store", Help: "The platform's object store.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.AddrPort("address", "127.0.0.1:7070", "Address of the store.", &s.Store.Address),
				wagini.Float("rate", "200", "Calls a second of all hosts together.", &s.Store.Rate, 0.1, 100000),
				wagini.Duration("timeout", "2s", "How long one call to the store may take.", &s.Store.Timeout, time.Millisecond, time.Minute),
				wagini.Int("concurrency", "8", "Calls in flight of this host, apart from watches and lease calls.", &s.Store.Concurrency, 1, 1000),
				wagini.Duration("watchWait", "3s", "How long a watch waits for a change. Its end confirms that the documents are fresh.", &s.Store.WatchWait, time.Second, maxWatchWait),
			}
		}},
		{Name: "hostList", Help: "The platform's list of live and leaving servers.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.AddrPort("address", "127.0.0.1:7071", "Address of the host list.", &s.HostList.Address),
				wagini.Duration("interval", "1s", "Time between two reads.", &s.HostList.Interval, 10*time.Millisecond, time.Minute),
			}
		}},
		{Name: "peers", Help: "Other entry hosts.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.AddrPorts("seeds", "", "Peer ports that are asked first when the store is down.", &s.Peers.Seeds),
				wagini.Int("connections", "256", "Connections that other hosts may open.", &s.Peers.Connections, 1, 10000),
				wagini.Duration("callTime", "2s", "How long one message to a peer may take with its answer.", &s.Peers.CallTime, 10*time.Millisecond, time.Minute),
			}
		}},
		{Name: "tls", Help: "Certificates, in PEM files; read again when they change.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.Pattern("certificate", "", "Certificate of the host for peers and operators.", &s.TLS.Certificate, pathExpression, "a file name"),
				wagini.Pattern("key", "", "Private key of that certificate.", &s.TLS.Key, pathExpression, "a file name"),
				wagini.Pattern("authority", "", "Authority that peers and operators are checked against.", &s.TLS.Authority, pathExpression, "a file name"),
				wagini.Pattern("callerCertificate", "", "Certificate of the caller port.", &s.TLS.CallerCertificate, pathExpression, "a file name"),
				wagini.Pattern("callerKey", "", "Private key of that certificate.", &s.TLS.CallerKey, pathExpression, "a file name"),
			}
		}},
		{Name: "terms", Help: "Signing of callers' terms and issued keys.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.Words("keys", "", "Secrets of at least 16 characters; the first signs, all verify. Hosts share them.", &s.Terms.Keys, secretExpression, "secrets of 16 to 256 printable characters, separated by commas"),
			}
		}},
		{Name: "log", Help: "Log lines.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.Choice("level", "info", "Least level that is written.", &s.Log.Level, "debug", "info", "warning", "error"),
				wagini.Choice("format", "text", "Form of the lines.", &s.Log.Format, "text", "json"),
			}
		}},
	}
}

// check returns an error for the first rule over several keys that is broken.
func (s *Settings) check(file string, text []byte) error {
	newError := func(section, key, value, reason, allowed string) error {
		return &wagini.Error{File: file, Section: section, Key: key, Value: value, Reason: reason, Allowed: allowed, Line: wagini.LineOf(text, section, key)}
	}
	peerFiles := []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority}
	if !allOrNone(peerFiles) {
		return newError("tls", "certificate", s.TLS.Certificate, "certificate, key and authority go together", "all three or none")
	}
	if !allOrNone([]string{s.TLS.CallerCertificate, s.TLS.CallerKey}) {
		return newError("tls", "callerCertificate", s.TLS.CallerCertificate, "callerCertificate and callerKey go together", "both or none")
	}
	if s.Listen.Insecure {
		return nil
	}
	ports := []struct {
		key     string
		address netip.AddrPort
		secure  bool
	}{
		{"caller", s.Listen.Caller, s.TLS.CallerCertificate != ""},
		{"forward", s.Listen.Forward, s.TLS.Certificate != ""},
		{"peer", s.Listen.Peer, s.TLS.Certificate != ""},
		{"operator", s.Listen.Operator, s.TLS.Certificate != ""},
	}
	for _, p := range ports {
		if !p.secure && !p.address.Addr().IsLoopback() {
			return newError("listen", p.key, p.address.String(), "the port is not on loopback and has no certificate", "a loopback address, certificates in [tls], or insecure = true")
		}
	}
	return nil
}

// allOrNone reports whether all values are set or none is.
func allOrNone(values []string) bool {
	nonEmpty := 0
	for _, v := range values {
		if v != "" {
			nonEmpty++
		}
	}
	return nonEmpty == 0 || nonEmpty == len(values)
}
