package wagtrace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Write writes a trace in the form that Read parses. Times are written as offsets
// from Header.Start.
func Write(out io.Writer, t *Trace) (err error) {
	defer func() { err = errors.WithMessage(err, "write trace") }()
	b := bufio.NewWriter(out)
	e := json.NewEncoder(b)
	offsetMicros := t.Header.offsetMicros
	if err := e.Encode(headerLineOf(&t.Header)); err != nil {
		return err
	}
	for _, f := range t.Faults {
		l := faultLine{
			Type: "fault", Kind: string(f.Kind), Server: f.Server, DataCentre: f.DataCentre,
			FromMicros: offsetMicros(f.From), UntilMicros: offsetMicros(f.Until), Factor: f.Factor, Loss: f.Loss,
		}
		if !f.ListedAt.IsZero() {
			l.ListedMicros = offsetMicros(f.ListedAt)
		}
		if err := e.Encode(l); err != nil {
			return err
		}
	}
	for _, r := range t.Requests {
		if err := e.Encode(requestLineOf(r, offsetMicros(r.At))); err != nil {
			return err
		}
	}
	return b.Flush()
}

func headerLineOf(h *Header) headerLine {
	l := headerLine{
		Type: "header", Kind: h.Kind, Service: h.Service, Seed: h.Seed, DataCentres: h.DataCentres,
		CallerDelayMicros: toMicros(h.CallerDelay), HostDelayMicros: toMicros(h.HostDelay), ServerDelayMicros: toMicros(h.ServerDelay),
	}
	for _, k := range h.Links {
		l.Links = append(l.Links, linkLine{A: k.A, B: k.B, DelayMicros: toMicros(k.Delay)})
	}
	for _, s := range h.Servers {
		l.Servers = append(l.Servers, serverLine(s))
	}
	for _, p := range h.Phases {
		l.Phases = append(l.Phases, phaseLine{Name: p.Name, FromMicros: h.offsetMicros(p.From), UntilMicros: h.offsetMicros(p.Until)})
	}
	return l
}

func requestLineOf(r Request, at int64) requestLine {
	l := requestLine{
		Type: "call", AtMicros: at, Caller: r.Caller, Route: r.Route, ServiceMicros: toMicros(r.ServiceTime),
		Bytes: r.Bytes, DeadlineMicros: toMicros(r.Deadline.Sub(r.At)), DataCentre: r.DataCentre, Place: r.Priority,
	}
	if r.Class != wagdocument.Learned {
		l.Class = r.Class.String()
	}
	if r.ActualClass != r.Class {
		l.Truth = r.ActualClass.String()
	}
	return l
}

// offsetMicros returns the offset of a time in the file.
func (h *Header) offsetMicros(t time.Time) int64 { return toMicros(t.Sub(h.Start)) }

func toMicros(d time.Duration) int64 { return int64(d / time.Microsecond) }
