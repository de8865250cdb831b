package wagdocument

import (
	"math"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagini"
)

const maxLifetime = 366 * 24 * time.Hour

var (
	nameExpression   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostExpression   = regexp.MustCompile(`^[A-Za-z0-9.-]{1,253}(:[0-9]{1,5})?$`)
	prefixExpression = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)*$`)
	pathExpression   = regexp.MustCompile(`^(\*|/[A-Za-z0-9._~/-]*\*?)$`)
	headerExpression = regexp.MustCompile(`^[A-Za-z0-9-]{0,64}$`)
	callerExpression = regexp.MustCompile(`^[!-+\--~]{1,128}$`)
	writerExpression = regexp.MustCompile(`^[A-Za-z0-9._:@-]{0,128}$`)
)

// Parse decodes and checks the INI text of a document.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{Text: text}
	if err := wagini.Decode(file, text, Schema(d)); err != nil {
		return nil, err
	}
	if err := d.complete(file); err != nil {
		return nil, err
	}
	return d, nil
}

// Schema describes the sections of a document and stores into d.
func Schema(d *Document) []wagini.Section {
	return []wagini.Section{
		{Name: "service", Help: "The service and its servers.", Keys: func(string) []wagini.Key { return serviceKeys(&d.Service) }},
		{Name: "revision", Help: "Written by `document put`; not edited by hand.", Keys: func(string) []wagini.Key { return revisionKeys(&d.Revision) }},
		{Name: "route", Named: true, Help: "The calls of one method and path.", Keys: func(name string) []wagini.Key { return routeKeys(d, name) }},
		{Name: "caller", Help: "How a caller is identified.", Keys: func(string) []wagini.Key { return callerKeys(&d.Caller) }},
		{Name: "limits", Help: "What the service takes at once.", Keys: func(string) []wagini.Key { return limitKeys(&d.Limits) }},
		{Name: "retries", Help: "Budget of repeated attempts.", Keys: func(string) []wagini.Key { return retryKeys(&d.Retries) }},
		{Name: "measuring", Help: "Budget of measuring servers, for all hosts together.", Keys: func(string) []wagini.Key { return measureKeys(&d.Probing) }},
		{Name: "zones", Help: "What it costs to leave a data centre.", Keys: func(string) []wagini.Key { return zoneKeys(&d.Zones) }},
		{Name: "zone", Named: true, Help: "The delay between two data centres, written as [zone \"a b\"].", Keys: func(name string) []wagini.Key { return linkKeys(&d.Zones, name) }},
		{Name: "terms", Help: "What a returning caller is granted.", Keys: func(string) []wagini.Key { return termKeys(&d.Terms) }},
		{Name: "errors", Help: "How answers of servers are judged.", Keys: func(string) []wagini.Key { return errorKeys(&d.Errors) }},
	}
}

func serviceKeys(s *Service) []wagini.Key {
	return []wagini.Key{
		wagini.Pattern("name", "", "Name of the service; required.", &s.Name, nameExpression, "lower-case letters, digits and hyphens, at most 63"),
		wagini.Pattern("prefix", "", "Path prefix that selects the service; /NAME when empty.", &s.Prefix, prefixExpression, "a path such as /lot-desk"),
		wagini.Words("hosts", "", "Values of the Host header that select the service.", &s.Hosts, hostExpression, "host names separated by commas"),
		wagini.Duration("deadline", "2s", "Deadline of calls that bring none.", &s.Deadline, time.Millisecond, time.Hour),
		wagini.Duration("maxDeadline", "10m", "Longest deadline a caller may ask for.", &s.MaxDeadline, time.Millisecond, time.Hour),
		wagini.Duration("drainTime", "30s", "How long requests in flight may run on at a leaving server.", &s.DrainTime, 0, time.Hour),
		wagini.Int("slots", "6", "Requests a server runs at once unless it reports its own number.", &s.Slots, 1, 100000),
		wagini.Int("connections", "240", "Connections to one server, of all hosts together.", &s.Connections, 1, 100000),
		wagini.Duration("rampTime", "5s", "How long a server that starts cold gets a reduced share.", &s.RampTime, 0, time.Hour),
		wagini.Bool("deleted", "false", "Marks a removed service; written by `document delete`.", &s.Deleted),
	}
}

func revisionKeys(r *Revision) []wagini.Key {
	return []wagini.Key{
		wagini.Int64("number", "0", "Order among the versions of the document.", &r.Number, 0, math.MaxInt64),
		wagini.Pattern("writer", "", "Who wrote the version.", &r.Writer, writerExpression, "letters, digits and . _ : @ -"),
		wagini.Int64("sequence", "0", "Number of the write of that writer.", &r.Sequence, 0, math.MaxInt64),
		wagini.Int64("epoch", "0", "Number of the version that created the document; callers' terms of another epoch do not count.", &r.Epoch, 0, math.MaxInt64),
	}
}

func routeKeys(d *Document, name string) []wagini.Key {
	d.Routes = append(d.Routes, Route{Name: name})
	r := &d.Routes[len(d.Routes)-1]
	class := ""
	keys := []wagini.Key{
		wagini.Choice("method", "*", "Method of the calls; * for all.", &r.Method, "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
		wagini.Pattern("path", "*", "Path below the prefix; a final * matches any rest.", &r.Path, pathExpression, "a path such as /lots/*"),
		wagini.Bool("repeatable", "false", "Whether a call may run more than once.", &r.Repeatable),
		wagini.Bool("keyed", "false", "Whether calls must bring an Idempotency-Key.", &r.Keyed),
		wagini.Duration("deadline", "0s", "Deadline of calls that bring none; that of the service when 0s.", &r.Deadline, 0, time.Hour),
	}
	kind := wagini.Choice("class", "learned", "How long the work runs.", &class, "learned", "short", "long")
	return append(keys, kind.OnSet(func() {
		r.Class = map[string]Class{"learned": Learned, "short": Short, "long": Long}[class]
	}))
}

func callerKeys(c *Caller) []wagini.Key {
	return []wagini.Key{
		wagini.Pattern("header", "", "Header that names the caller; the caller's address stands for it when empty.", &c.Header, headerExpression, "a header name"),
	}
}

func limitKeys(l *Limits) []wagini.Key {
	return []wagini.Key{
		wagini.Int("queue", "1024", "Calls that wait at one group owner.", &l.Queue, 0, 1000000),
		wagini.Int64("bodyBytes", "8388608", "Longest body of a call, in bytes.", &l.BodyBytes, 0, 1<<40),
		wagini.Float("longShare", "0.5", "Greatest share of a group's slots that long work holds.", &l.LongShare, 0.01, 1),
		wagini.Duration("longAfter", "100ms", "Service time from which work is learned to be long.", &l.LongAfter, time.Millisecond, time.Hour),
	}
}

func retryKeys(r *Retries) []wagini.Key {
	return []wagini.Key{
		wagini.Float("share", "0.1", "Greatest ratio of extra attempts to first attempts.", &r.Share, 0, 1),
		wagini.Int("attempts", "3", "Attempts of one call at most, the first included.", &r.Attempts, 1, 10),
		wagini.Bool("hedge", "false", "Whether repeatable calls are hedged.", &r.Hedge),
		wagini.Float("hedgeQuantile", "0.99", "Quantile of service times after which a hedge starts.", &r.HedgeQuantile, 0.5, 0.9999),
	}
}

func measureKeys(m *Probing) []wagini.Key {
	return []wagini.Key{
		wagini.Float("probesPerSecond", "2", "Probes of all hosts to all servers of the service.", &m.ProbesPerSecond, 0, 10000),
		wagini.Pattern("path", "/health", "Path that is probed at a server.", &m.Path, pathExpression, "a path such as /health"),
		wagini.Duration("silence", "3s", "How long a server may give no answers before it is probed.", &m.Silence, 100*time.Millisecond, time.Hour),
	}
}

func zoneKeys(z *Zones) []wagini.Key {
	return []wagini.Key{
		wagini.Duration("cost", "3ms", "One-way delay between data centres without a section of their own.", &z.Cost, 0, 10*time.Second),
		wagini.Float("spill", "0.5", "Greatest share of calls that leave the data centre.", &z.Spill, 0, 1),
	}
}

func linkKeys(z *Zones, name string) []wagini.Key {
	names := strings.Fields(name)
	sort.Strings(names)
	var cost time.Duration
	key := wagini.Duration("cost", "3ms", "One-way delay between the two data centres.", &cost, 0, 10*time.Second).OnSet(func() {
		if z.Costs == nil {
			z.Costs = make(map[string]time.Duration)
		}
		z.Costs[strings.Join(names, " ")] = cost
	})
	return []wagini.Key{key}
}

func termKeys(t *Terms) []wagini.Key {
	return []wagini.Key{
		wagini.Float("rate", "100", "Calls a second of a new caller.", &t.Rate, 0.001, 1e9),
		wagini.Int("burst", "200", "Calls at once of a new caller.", &t.Burst, 1, 1e9),
		wagini.Float("growth", "1.5", "Factor of rate, burst and lifetime at each renewal.", &t.Growth, 1, 10),
		wagini.Float("maxRate", "1000", "Greatest rate after renewals.", &t.MaxRate, 0.001, 1e9),
		wagini.Int("maxBurst", "2000", "Greatest burst after renewals.", &t.MaxBurst, 1, 1e9),
		wagini.Duration("lifetime", "1h", "How long the terms of a new caller last.", &t.Lifetime, time.Second, maxLifetime),
		wagini.Duration("maxLifetime", "720h", "Longest lifetime after renewals.", &t.MaxLifetime, time.Second, maxLifetime),
		wagini.Int("maxPlace", "3", "Greatest place in the queue after renewals; 0 gives none.", &t.MaxPlace, 0, 100),
		wagini.Time("resetBefore", "", "Terms that began before this time are refused.", &t.ResetBefore),
		wagini.Words("resetCallers", "", "Callers to which resetBefore applies; all when empty.", &t.ResetCallers, callerExpression, "names of callers separated by commas"),
	}
}

func errorKeys(e *Errors) []wagini.Key {
	return []wagini.Key{
		wagini.Ints("bad", "500,502,503,504", "Statuses that count against a server.", &e.Bad, 400, 599),
		wagini.Ints("notRun", "503", "Statuses that prove, with notRunHeader, that a request was not run.", &e.NotRun, 400, 599),
		wagini.Pattern("notRunHeader", "", "Header that an answer must carry as that proof; empty accepts no proof.", &e.NotRunHeader, headerExpression, "a header name"),
	}
}

// complete fills the defaults that depend on other keys and checks what spans
// several keys.
func (d *Document) complete(file string) error {
	fault := func(section, key, value, reason, allowed string) error {
		return &wagini.Error{File: file, Section: section, Key: key, Value: value, Reason: reason, Allowed: allowed, Line: wagini.LineOf(d.Text, section, key)}
	}
	if d.Service.Name == "" {
		return fault("service", "name", "", "the name is missing", "lower-case letters, digits and hyphens")
	}
	if d.Service.Prefix == "" {
		d.Service.Prefix = "/" + d.Service.Name
	}
	if d.Service.Deadline > d.Service.MaxDeadline {
		return fault("service", "deadline", d.Service.Deadline.String(), "the deadline is above maxDeadline", "at most "+d.Service.MaxDeadline.String())
	}
	if d.Terms.Rate > d.Terms.MaxRate || d.Terms.Burst > d.Terms.MaxBurst || d.Terms.Lifetime > d.Terms.MaxLifetime {
		return fault("terms", "rate", "", "the terms of a new caller are above the greatest ones", "at most maxRate, maxBurst and maxLifetime")
	}
	for name := range d.Zones.Costs {
		if len(strings.Fields(name)) != 2 {
			return fault(`zone "`+name+`"`, "", "", "the section needs two data centres", `[zone "a b"]`)
		}
	}
	return d.completeRoutes(fault)
}

func (d *Document) completeRoutes(fault func(section, key, value, reason, allowed string) error) error {
	sort.Slice(d.Routes, func(i, j int) bool { return d.Routes[i].Name < d.Routes[j].Name })
	taken := make(map[string]string)
	for i := range d.Routes {
		r := &d.Routes[i]
		section := `route "` + r.Name + `"`
		if r.Deadline == 0 {
			r.Deadline = d.Service.Deadline
		}
		if r.Deadline > d.Service.MaxDeadline {
			return fault(section, "deadline", r.Deadline.String(), "the deadline is above maxDeadline", "at most "+d.Service.MaxDeadline.String())
		}
		if r.Repeatable && r.Keyed {
			return fault(section, "keyed", "true", "a repeatable route needs no keys", "keyed or repeatable, not both")
		}
		place := r.Method + " " + r.Path
		if other, ok := taken[place]; ok {
			return fault(section, "path", r.Path, "route "+other+" has the same method and path", "each method and path once")
		}
		taken[place] = r.Name
	}
	return nil
}

// ReadRevision returns the revision of a text that need not be valid otherwise,
// or the zero revision.
func ReadRevision(text []byte) Revision {
	var r Revision
	schema := []wagini.Section{{Name: "revision", Keys: func(string) []wagini.Key { return revisionKeys(&r) }}}
	if err := wagini.DecodeKnownSections("revision", text, schema); err != nil {
		return Revision{}
	}
	return r
}
