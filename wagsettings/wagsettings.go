// Package wagsettings holds the settings of one entry host, decoded from INI,
// defaulted and checked once.
package wagsettings

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagini"
)

// maxWatchWait is half of the time after which a host without a confirmation by
// the store stops being ready (wagrollout.FreshTime).
const maxWatchWait = 5 * time.Second

var nameExpression = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Settings are the settings of one entry host.
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

// Host says who the entry host is.
type Host struct {
	// Name is empty when the host names itself by its incarnation.
	Name       string
	DataCentre string
	Region     string
	// StopTime is how long a planned stop waits for calls in flight.
	StopTime time.Duration
	// ReadyDelay is how long a stopping host fails its readiness check before
	// it closes its caller port.
	ReadyDelay time.Duration
}

// Listen holds the addresses the host listens on.
type Listen struct {
	Caller   netip.AddrPort
	Forward  netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
	// Insecure permits ports other than loopback without certificates.
	Insecure bool
}

// Store says how the object store is reached.
type Store struct {
	Address netip.AddrPort
	// Rate bounds the calls a second of all hosts together.
	Rate    float64
	Timeout time.Duration
	// Concurrency bounds the calls in flight of this host, apart from watches
	// and lease calls.
	Concurrency int
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration
}

// HostList says how the platform's host list is reached.
type HostList struct {
	Address  netip.AddrPort
	Interval time.Duration
}

// Peers holds the hosts that are asked first when the store is down.
type Peers struct {
	Seeds []netip.AddrPort
	// Connections bounds the connections that other hosts may open.
	Connections int
	// CallTime bounds one message to a peer with its answer.
	CallTime time.Duration
}

// TLS holds the certificates. All files are set or none.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
	// CallerCertificate and CallerKey serve the caller port.
	CallerCertificate string
	CallerKey         string
}

// Terms holds the keys that sign tokens.
type Terms struct {
	// Keys lists secrets; the first signs, all verify.
	Keys []string
}

// Log says how log lines look.
type Log struct {
	Level  string
	Format string
}

// Load reads and checks a settings file.
func Load(file string) (s *Settings, err error) {
	defer func() { err = errors.WithMessage(err, "load settings") }()
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse decodes and checks settings.
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

// Schema describes the sections of the settings and stores into s.
func Schema(s *Settings) []wagini.Section {
	secret := regexp.MustCompile(`^[!-+\--~]{16,256}$`)
	path := regexp.MustCompile(`^[^\x00]*$`)
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
				wagini.Pattern("certificate", "", "Certificate of the host for peers and operators.", &s.TLS.Certificate, path, "a file name"),
				wagini.Pattern("key", "", "Private key of that certificate.", &s.TLS.Key, path, "a file name"),
				wagini.Pattern("authority", "", "Authority that peers and operators are checked against.", &s.TLS.Authority, path, "a file name"),
				wagini.Pattern("callerCertificate", "", "Certificate of the caller port.", &s.TLS.CallerCertificate, path, "a file name"),
				wagini.Pattern("callerKey", "", "Private key of that certificate.", &s.TLS.CallerKey, path, "a file name"),
			}
		}},
		{Name: "terms", Help: "Signing of callers' terms and issued keys.", Keys: func(string) []wagini.Key {
			return []wagini.Key{
				wagini.Words("keys", "", "Secrets of at least 16 characters; the first signs, all verify. Hosts share them.", &s.Terms.Keys, secret, "secrets of 16 to 256 printable characters, separated by commas"),
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

func (s *Settings) check(file string, text []byte) error {
	fault := func(section, key, value, reason, allowed string) error {
		return &wagini.Error{File: file, Section: section, Key: key, Value: value, Reason: reason, Allowed: allowed, Line: wagini.LineOf(text, section, key)}
	}
	mutual := []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority}
	if !allOrNone(mutual) {
		return fault("tls", "certificate", s.TLS.Certificate, "certificate, key and authority go together", "all three or none")
	}
	if !allOrNone([]string{s.TLS.CallerCertificate, s.TLS.CallerKey}) {
		return fault("tls", "callerCertificate", s.TLS.CallerCertificate, "callerCertificate and callerKey go together", "both or none")
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
			return fault("listen", p.key, p.address.String(), "the port is not on loopback and has no certificate", "a loopback address, certificates in [tls], or insecure = true")
		}
	}
	return nil
}

func allOrNone(values []string) bool {
	set := 0
	for _, v := range values {
		if v != "" {
			set++
		}
	}
	return set == 0 || set == len(values)
}
