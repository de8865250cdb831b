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
	maxLineBytes = 4 << 20
	maxLines     = 20_000_000
	maxSlots     = 10_000
	maxServers   = 100_000
	// maxMicros bounds times to a day, and other numbers to the same value.
	maxMicros = int64(24 * time.Hour / time.Microsecond)
	maxFactor = 1e6
)

// Error is an error in a trace file, with its place.
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

// These types are the lines of the file. All times are whole microseconds after
// the start of the trace.
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
	requestLine struct {
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

// traceStart is the start of every trace; only differences of time matter.
var traceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var classes = map[string]wagdocument.Class{
	"": wagdocument.Learned, "learned": wagdocument.Learned, "short": wagdocument.Short, "long": wagdocument.Long,
}

// timeAtMicros returns the time at an offset in the file.
func timeAtMicros(micros int64) time.Time {
	return traceStart.Add(time.Duration(micros) * time.Microsecond)
}

// durationOfMicros returns a duration in the file.
func durationOfMicros(micros int64) time.Duration { return time.Duration(micros) * time.Microsecond }

// reader parses a trace line by line and holds what the checks of later lines
// need.
type reader struct {
	file        string
	line        int
	trace       *Trace
	dataCentres map[string]bool
	servers     map[string]bool
}

// Read parses and checks a trace. file is used in errors only.
func Read(file string, in io.Reader) (t *Trace, err error) {
	r := &reader{file: file, trace: &Trace{}, dataCentres: make(map[string]bool), servers: make(map[string]bool)}
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		r.line++
		if r.line > maxLines {
			return nil, r.lineError("", "the trace has too many lines (allowed: 20000000)")
		}
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		if err := r.parseLine(s.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := s.Err(); err != nil {
		r.line++
		return nil, r.lineError("", err.Error())
	}
	if r.trace.Header.Service == "" {
		return nil, r.lineError("type", "the header line is missing")
	}
	return r.trace, nil
}

// lineError returns an error in the current line.
func (r *reader) lineError(field, reason string) error {
	return &Error{File: r.file, Line: r.line, Field: field, Reason: reason}
}

// parseLine parses and checks one line and adds it to the trace.
func (r *reader) parseLine(line []byte) error {
	var kind struct {
		Type string `json:"type"`
	}
	if err := json.Unmarshal(line, &kind); err != nil {
		return r.decodeError(err)
	}
	hasHeader := r.trace.Header.Service != ""
	switch {
	case kind.Type == "header" && !hasHeader:
		return r.parseHeader(line)
	case kind.Type == "header":
		return r.lineError("type", "the header occurs twice")
	case !hasHeader:
		return r.lineError("type", "the first line must be the header")
	case kind.Type == "call":
		return r.parseRequest(line)
	case kind.Type == "fault":
		return r.parseFault(line)
	}
	return r.lineError("type", fmt.Sprintf("unknown type %.40q (allowed: header, call, fault)", kind.Type))
}

func (r *reader) decode(line []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return r.decodeError(err)
	}
	return nil
}

// decodeError returns a line error for an error of the JSON decoder. It names the
// field if the decoder does.
func (r *reader) decodeError(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return r.lineError(kind.Field, "the value is a "+kind.Value+" (allowed: "+kind.Type.String()+")")
	}
	const unknown = "json: unknown field "
	if strings.HasPrefix(err.Error(), unknown) {
		return r.lineError(strings.Trim(strings.TrimPrefix(err.Error(), unknown), `"`), "unknown field")
	}
	return r.lineError("", err.Error())
}

func (r *reader) parseHeader(line []byte) error {
	var l headerLine
	if err := r.decode(line, &l); err != nil {
		return err
	}
	for _, name := range l.DataCentres {
		if name == "" || r.dataCentres[name] {
			return r.lineError("dataCentres", fmt.Sprintf("empty or repeated name %.40q", name))
		}
		r.dataCentres[name] = true
	}
	if l.Service == "" {
		return r.lineError("service", "the name is missing")
	}
	if len(l.DataCentres) == 0 {
		return r.lineError("dataCentres", "at least one data centre is required")
	}
	if err := r.checkRanges([]rangedField{{"callerDelayMicros", l.CallerDelayMicros}, {"hostDelayMicros", l.HostDelayMicros}, {"serverDelayMicros", l.ServerDelayMicros}}); err != nil {
		return err
	}
	h := &r.trace.Header
	*h = Header{
		Kind: l.Kind, Service: l.Service, Seed: l.Seed, Start: traceStart, DataCentres: l.DataCentres,
		CallerDelay: durationOfMicros(l.CallerDelayMicros), HostDelay: durationOfMicros(l.HostDelayMicros), ServerDelay: durationOfMicros(l.ServerDelayMicros),
	}
	return r.parseHeaderLists(l, h)
}

// parseHeaderLists checks the links, servers and phases of a header and adds them
// to the trace.
func (r *reader) parseHeaderLists(l headerLine, h *Header) error {
	for _, k := range l.Links {
		if !r.dataCentres[k.A] || !r.dataCentres[k.B] || k.A == k.B {
			return r.lineError("links", fmt.Sprintf("%.40q and %.40q are not two data centres of the header", k.A, k.B))
		}
		if err := r.checkRanges([]rangedField{{"links.delayMicros", k.DelayMicros}}); err != nil {
			return err
		}
		h.Links = append(h.Links, Link{A: k.A, B: k.B, Delay: durationOfMicros(k.DelayMicros)})
	}
	if len(l.Servers) == 0 || len(l.Servers) > maxServers {
		return r.lineError("servers", fmt.Sprintf("%d servers (allowed: 1 to %d)", len(l.Servers), maxServers))
	}
	for _, s := range l.Servers {
		if s.Name == "" || r.servers[s.Name] {
			return r.lineError("servers.name", fmt.Sprintf("empty or repeated name %.40q", s.Name))
		}
		if !r.dataCentres[s.DataCentre] {
			return r.lineError("servers.dataCentre", fmt.Sprintf("unknown data centre %.40q", s.DataCentre))
		}
		if s.Slots < 1 || s.Slots > maxSlots {
			return r.lineError("servers.slots", fmt.Sprintf("%d is out of range (allowed: 1 to %d)", s.Slots, maxSlots))
		}
		r.servers[s.Name] = true
		h.Servers = append(h.Servers, Server(s))
	}
	for _, p := range l.Phases {
		if p.FromMicros < 0 || p.UntilMicros <= p.FromMicros || p.UntilMicros > maxMicros {
			return r.lineError("phases", fmt.Sprintf("phase %.40q has to end after it begins, within a day", p.Name))
		}
		h.Phases = append(h.Phases, Phase{Name: p.Name, From: timeAtMicros(p.FromMicros), Until: timeAtMicros(p.UntilMicros)})
	}
	return nil
}

// rangedField is a field whose value has to be from 0 to maxMicros.
type rangedField struct {
	field string
	value int64
}

func (r *reader) checkRanges(list []rangedField) error {
	for _, l := range list {
		if l.value < 0 || l.value > maxMicros {
			return r.lineError(l.field, fmt.Sprintf("%d is out of range (allowed: 0 to %d)", l.value, maxMicros))
		}
	}
	return nil
}

func (r *reader) parseRequest(line []byte) error {
	var l requestLine
	if err := r.decode(line, &l); err != nil {
		return err
	}
	if err := r.checkRanges([]rangedField{{"atMicros", l.AtMicros}, {"serviceMicros", l.ServiceMicros}, {"deadlineMicros", l.DeadlineMicros}, {"bytes", l.Bytes}, {"place", int64(l.Place)}}); err != nil {
		return err
	}
	class, ok := classes[l.Class]
	if !ok {
		return r.lineError("class", fmt.Sprintf("unknown class %.40q (allowed: short, long, learned)", l.Class))
	}
	actualClass, ok := classes[l.Truth]
	if !ok {
		return r.lineError("truth", fmt.Sprintf("unknown class %.40q (allowed: short, long)", l.Truth))
	}
	if actualClass == wagdocument.Learned {
		actualClass = class
	}
	if actualClass == wagdocument.Learned {
		actualClass = wagdocument.Short
	}
	if !r.dataCentres[l.DataCentre] {
		return r.lineError("dataCentre", fmt.Sprintf("unknown data centre %.40q", l.DataCentre))
	}
	req := Request{
		At: timeAtMicros(l.AtMicros), Caller: l.Caller, Route: l.Route, Class: class, ActualClass: actualClass, ServiceTime: durationOfMicros(l.ServiceMicros),
		Bytes: l.Bytes, Deadline: timeAtMicros(l.AtMicros + l.DeadlineMicros), DataCentre: l.DataCentre, Priority: l.Place,
	}
	if n := len(r.trace.Requests); n > 0 && req.At.Before(r.trace.Requests[n-1].At) {
		return r.lineError("atMicros", "the request is before the previous one")
	}
	r.trace.Requests = append(r.trace.Requests, req)
	return nil
}

func (r *reader) parseFault(line []byte) error {
	var l faultLine
	if err := r.decode(line, &l); err != nil {
		return err
	}
	if err := r.checkRanges([]rangedField{{"fromMicros", l.FromMicros}, {"untilMicros", l.UntilMicros}, {"listedMicros", l.ListedMicros}}); err != nil {
		return err
	}
	if l.UntilMicros < l.FromMicros {
		return r.lineError("untilMicros", "the fault ends before it begins")
	}
	kind := FaultKind(l.Kind)
	switch kind {
	case FaultSlow, FaultColdStart, FaultFailFast, FaultDrain, FaultDown, FaultFalseLoad:
		if !r.servers[l.Server] {
			return r.lineError("server", fmt.Sprintf("unknown server %.40q", l.Server))
		}
	case FaultSlowLinks:
		if !r.dataCentres[l.DataCentre] {
			return r.lineError("dataCentre", fmt.Sprintf("unknown data centre %.40q", l.DataCentre))
		}
	default:
		return r.lineError("kind", fmt.Sprintf("unknown kind %.40q (allowed: slow, cold, failFast, drain, down, lie, linkSlow)", l.Kind))
	}
	needsFactor := kind == FaultSlow || kind == FaultColdStart || kind == FaultSlowLinks
	if math.IsNaN(l.Factor) || l.Factor < 0 || l.Factor > maxFactor || (needsFactor && l.Factor < 1) {
		return r.lineError("factor", fmt.Sprintf("%g is out of range (allowed: 1 to %g)", l.Factor, float64(maxFactor)))
	}
	if l.Loss < 0 || l.Loss > 1 {
		return r.lineError("loss", fmt.Sprintf("%g is out of range (allowed: 0 to 1)", l.Loss))
	}
	f := Fault{Kind: kind, Server: l.Server, DataCentre: l.DataCentre, From: timeAtMicros(l.FromMicros), Until: timeAtMicros(l.UntilMicros), Factor: l.Factor, Loss: l.Loss}
	if l.ListedMicros > 0 {
		f.ListedAt = timeAtMicros(l.ListedMicros)
	}
	r.trace.Faults = append(r.trace.Faults, f)
	return nil
}
