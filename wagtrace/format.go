package wagtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Limits of a trace, so that a bad file cannot exhaust the memory.
const (
	maxLine    = 4 << 20
	maxLines   = 20_000_000
	maxSlots   = 10_000
	maxServers = 100_000
	maxMicros  = int64(24 * time.Hour / time.Microsecond)
	maxFactor  = 1e6
)

// Error names the place of a fault in a trace file.
type Error struct {
	File   string
	Line   int
	Field  string
	Reason string
}

func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Field != "" {
		text += "field " + e.Field + ": "
	}
	return text + e.Reason
}

// The types below are the lines of the file. All times are whole microseconds
// after the start of the trace.
type (
	headerLine struct {
		Type              string       `json:"type"`
		Kind              string       `json:"kind,omitempty"`
		Service           string       `json:"service"`
		Seed              uint64       `json:"seed,omitempty"`
		DataCentres       []string     `json:"dataCentres"`
		Links             []linkLine   `json:"links,omitempty"`
		CallerDelayMicros int64        `json:"callerDelayMicros"`
		HostDelayMicros   int64        `json:"hostDelayMicros"`
		ServerDelayMicros int64        `json:"serverDelayMicros"`
		Servers           []serverLine `json:"servers"`
		Phases            []phaseLine  `json:"phases,omitempty"`
	}
	linkLine struct {
		A           string `json:"a"`
		B           string `json:"b"`
		DelayMicros int64  `json:"delayMicros"`
	}
	serverLine struct {
		Name       string `json:"name"`
		DataCentre string `json:"dataCentre"`
		Slots      int    `json:"slots"`
	}
	phaseLine struct {
		Name        string `json:"name"`
		FromMicros  int64  `json:"fromMicros"`
		UntilMicros int64  `json:"untilMicros"`
	}
	callLine struct {
		Type           string `json:"type"`
		AtMicros       int64  `json:"atMicros"`
		Caller         string `json:"caller"`
		Route          string `json:"route"`
		Class          string `json:"class,omitempty"`
		Truth          string `json:"truth,omitempty"`
		ServiceMicros  int64  `json:"serviceMicros"`
		Bytes          int64  `json:"bytes,omitempty"`
		DeadlineMicros int64  `json:"deadlineMicros"`
		DataCentre     string `json:"dataCentre"`
		Place          int    `json:"place,omitempty"`
	}
	faultLine struct {
		Type         string  `json:"type"`
		Kind         string  `json:"kind"`
		Server       string  `json:"server,omitempty"`
		DataCentre   string  `json:"dataCentre,omitempty"`
		FromMicros   int64   `json:"fromMicros"`
		UntilMicros  int64   `json:"untilMicros"`
		Factor       float64 `json:"factor,omitempty"`
		Loss         float64 `json:"loss,omitempty"`
		ListedMicros int64   `json:"listedMicros,omitempty"`
	}
)

// epoch is the start of every trace; only differences of time matter.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var classes = map[string]wagdocument.Class{
	"": wagdocument.Learned, "learned": wagdocument.Learned, "short": wagdocument.Short, "long": wagdocument.Long,
}

func offset(micros int64) time.Time { return epoch.Add(time.Duration(micros) * time.Microsecond) }

func span(micros int64) time.Duration { return time.Duration(micros) * time.Microsecond }

// reader holds what is needed to check the lines that follow.
type reader struct {
	file    string
	line    int
	trace   *Trace
	centres map[string]bool
	servers map[string]bool
}

// Read parses and checks a trace. file is used in errors only.
func Read(file string, in io.Reader) (t *Trace, err error) {
	r := &reader{file: file, trace: &Trace{}, centres: make(map[string]bool), servers: make(map[string]bool)}
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		r.line++
		if r.line > maxLines {
			return nil, r.fault("", "the trace has too many lines (allowed: 20000000)")
		}
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		if err := r.read(s.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := s.Err(); err != nil {
		r.line++
		return nil, r.fault("", err.Error())
	}
	if r.trace.Header.Service == "" {
		return nil, r.fault("type", "the header line is missing")
	}
	return r.trace, nil
}

func (r *reader) fault(field, reason string) error {
	return &Error{File: r.file, Line: r.line, Field: field, Reason: reason}
}

func (r *reader) read(line []byte) error {
	var kind struct {
		Type string `json:"type"`
	}
	if err := json.Unmarshal(line, &kind); err != nil {
		return r.decodeFault(err)
	}
	headed := r.trace.Header.Service != ""
	switch {
	case kind.Type == "header" && !headed:
		return r.header(line)
	case kind.Type == "header":
		return r.fault("type", "the header occurs twice")
	case !headed:
		return r.fault("type", "the first line must be the header")
	case kind.Type == "call":
		return r.call(line)
	case kind.Type == "fault":
		return r.faultLine(line)
	}
	return r.fault("type", fmt.Sprintf("unknown type %.40q (allowed: header, call, fault)", kind.Type))
}

func (r *reader) decode(line []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return r.decodeFault(err)
	}
	return nil
}

// decodeFault names the field when the decoder does.
func (r *reader) decodeFault(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return r.fault(kind.Field, "the value is a "+kind.Value+" (allowed: "+kind.Type.String()+")")
	}
	const unknown = "json: unknown field "
	if strings.HasPrefix(err.Error(), unknown) {
		return r.fault(strings.Trim(strings.TrimPrefix(err.Error(), unknown), `"`), "unknown field")
	}
	return r.fault("", err.Error())
}

func (r *reader) header(line []byte) error {
	var l headerLine
	if err := r.decode(line, &l); err != nil {
		return err
	}
	for _, name := range l.DataCentres {
		if name == "" || r.centres[name] {
			return r.fault("dataCentres", fmt.Sprintf("empty or repeated name %.40q", name))
		}
		r.centres[name] = true
	}
	if l.Service == "" {
		return r.fault("service", "the name is missing")
	}
	if len(l.DataCentres) == 0 {
		return r.fault("dataCentres", "at least one is needed")
	}
	if err := r.limits([]limit{{"callerDelayMicros", l.CallerDelayMicros}, {"hostDelayMicros", l.HostDelayMicros}, {"serverDelayMicros", l.ServerDelayMicros}}); err != nil {
		return err
	}
	h := &r.trace.Header
	*h = Header{
		Kind: l.Kind, Service: l.Service, Seed: l.Seed, Start: epoch, DataCentres: l.DataCentres,
		CallerDelay: span(l.CallerDelayMicros), HostDelay: span(l.HostDelayMicros), ServerDelay: span(l.ServerDelayMicros),
	}
	return r.headerLists(l, h)
}

func (r *reader) headerLists(l headerLine, h *Header) error {
	for _, k := range l.Links {
		if !r.centres[k.A] || !r.centres[k.B] || k.A == k.B {
			return r.fault("links", fmt.Sprintf("%.40q and %.40q are not two data centres of the header", k.A, k.B))
		}
		if err := r.limits([]limit{{"links.delayMicros", k.DelayMicros}}); err != nil {
			return err
		}
		h.Links = append(h.Links, Link{A: k.A, B: k.B, Delay: span(k.DelayMicros)})
	}
	if len(l.Servers) == 0 || len(l.Servers) > maxServers {
		return r.fault("servers", fmt.Sprintf("%d servers (allowed: 1 to %d)", len(l.Servers), maxServers))
	}
	for _, s := range l.Servers {
		if s.Name == "" || r.servers[s.Name] {
			return r.fault("servers.name", fmt.Sprintf("empty or repeated name %.40q", s.Name))
		}
		if !r.centres[s.DataCentre] {
			return r.fault("servers.dataCentre", fmt.Sprintf("unknown data centre %.40q", s.DataCentre))
		}
		if s.Slots < 1 || s.Slots > maxSlots {
			return r.fault("servers.slots", fmt.Sprintf("%d is out of range (allowed: 1 to %d)", s.Slots, maxSlots))
		}
		r.servers[s.Name] = true
		h.Servers = append(h.Servers, Server(s))
	}
	for _, p := range l.Phases {
		if p.FromMicros < 0 || p.UntilMicros <= p.FromMicros || p.UntilMicros > maxMicros {
			return r.fault("phases", fmt.Sprintf("phase %.40q does not end after it begins within a day", p.Name))
		}
		h.Phases = append(h.Phases, Phase{Name: p.Name, From: offset(p.FromMicros), Until: offset(p.UntilMicros)})
	}
	return nil
}

type limit struct {
	field string
	value int64
}

func (r *reader) limits(list []limit) error {
	for _, l := range list {
		if l.value < 0 || l.value > maxMicros {
			return r.fault(l.field, fmt.Sprintf("%d is out of range (allowed: 0 to %d)", l.value, maxMicros))
		}
	}
	return nil
}

func (r *reader) call(line []byte) error {
	var l callLine
	if err := r.decode(line, &l); err != nil {
		return err
	}
	if err := r.limits([]limit{{"atMicros", l.AtMicros}, {"serviceMicros", l.ServiceMicros}, {"deadlineMicros", l.DeadlineMicros}, {"bytes", l.Bytes}, {"place", int64(l.Place)}}); err != nil {
		return err
	}
	class, ok := classes[l.Class]
	if !ok {
		return r.fault("class", fmt.Sprintf("unknown class %.40q (allowed: short, long, learned)", l.Class))
	}
	truth, ok := classes[l.Truth]
	if !ok {
		return r.fault("truth", fmt.Sprintf("unknown class %.40q (allowed: short, long)", l.Truth))
	}
	if truth == wagdocument.Learned {
		truth = class
	}
	if truth == wagdocument.Learned {
		truth = wagdocument.Short
	}
	if !r.centres[l.DataCentre] {
		return r.fault("dataCentre", fmt.Sprintf("unknown data centre %.40q", l.DataCentre))
	}
	c := Request{
		At: offset(l.AtMicros), Caller: l.Caller, Route: l.Route, Class: class, ActualClass: truth, ServiceTime: span(l.ServiceMicros),
		Bytes: l.Bytes, Deadline: offset(l.AtMicros + l.DeadlineMicros), DataCentre: l.DataCentre, Priority: l.Place,
	}
	if n := len(r.trace.Requests); n > 0 && c.At.Before(r.trace.Requests[n-1].At) {
		return r.fault("atMicros", "the call is before the previous one")
	}
	r.trace.Requests = append(r.trace.Requests, c)
	return nil
}

func (r *reader) faultLine(line []byte) error {
	var l faultLine
	if err := r.decode(line, &l); err != nil {
		return err
	}
	if err := r.limits([]limit{{"fromMicros", l.FromMicros}, {"untilMicros", l.UntilMicros}, {"listedMicros", l.ListedMicros}}); err != nil {
		return err
	}
	if l.UntilMicros < l.FromMicros {
		return r.fault("untilMicros", "the fault ends before it begins")
	}
	kind := FaultKind(l.Kind)
	switch kind {
	case FaultSlow, FaultColdStart, FaultFailFast, FaultDrain, FaultDown, FaultFalseLoad:
		if !r.servers[l.Server] {
			return r.fault("server", fmt.Sprintf("unknown server %.40q", l.Server))
		}
	case FaultSlowLinks:
		if !r.centres[l.DataCentre] {
			return r.fault("dataCentre", fmt.Sprintf("unknown data centre %.40q", l.DataCentre))
		}
	default:
		return r.fault("kind", fmt.Sprintf("unknown kind %.40q (allowed: slow, cold, failFast, drain, down, lie, linkSlow)", l.Kind))
	}
	scaled := kind == FaultSlow || kind == FaultColdStart || kind == FaultSlowLinks
	if math.IsNaN(l.Factor) || l.Factor < 0 || l.Factor > maxFactor || (scaled && l.Factor < 1) {
		return r.fault("factor", fmt.Sprintf("%g is out of range (allowed: 1 to %g)", l.Factor, float64(maxFactor)))
	}
	if l.Loss < 0 || l.Loss > 1 {
		return r.fault("loss", fmt.Sprintf("%g is out of range (allowed: 0 to 1)", l.Loss))
	}
	f := Fault{Kind: kind, Server: l.Server, DataCentre: l.DataCentre, From: offset(l.FromMicros), Until: offset(l.UntilMicros), Factor: l.Factor, Loss: l.Loss}
	if l.ListedMicros > 0 {
		f.ListedAt = offset(l.ListedMicros)
	}
	r.trace.Faults = append(r.trace.Faults, f)
	return nil
}
