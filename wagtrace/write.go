package wagtrace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Write writes a trace in the form that Read takes. Its times are written as
// offsets from Header.Start.
func Write(out io.Writer, t *Trace) (err error) {
	defer func() { err = errors.WithMessage(err, "write trace") }()
	b := bufio.NewWriter(out)
	e := json.NewEncoder(b)
	micros := t.Header.micros
	if err := e.Encode(headerOf(&t.Header)); err != nil {
		return err
	}
	for _, f := range t.Faults {
		l := faultLine{
			Type: "fault", Kind: string(f.Kind), Server: f.Server, DataCentre: f.DataCentre,
			FromMicros: micros(f.From), UntilMicros: micros(f.Until), Factor: f.Factor, Loss: f.Loss,
		}
		if !f.ListedAt.IsZero() {
			l.ListedMicros = micros(f.ListedAt)
		}
		if err := e.Encode(l); err != nil {
			return err
		}
	}
	for _, c := range t.Requests {
		if err := e.Encode(callOf(c, micros(c.At))); err != nil {
			return err
		}
	}
	return b.Flush()
}

func headerOf(h *Header) headerLine {
	l := headerLine{
		Type: "header", Kind: h.Kind, Service: h.Service, Seed: h.Seed, DataCentres: h.DataCentres,
		CallerDelayMicros: inMicros(h.CallerDelay), HostDelayMicros: inMicros(h.HostDelay), ServerDelayMicros: inMicros(h.ServerDelay),
	}
	for _, k := range h.Links {
		l.Links = append(l.Links, linkLine{A: k.A, B: k.B, DelayMicros: inMicros(k.Delay)})
	}
	for _, s := range h.Servers {
		l.Servers = append(l.Servers, serverLine(s))
	}
	for _, p := range h.Phases {
		l.Phases = append(l.Phases, phaseLine{Name: p.Name, FromMicros: h.micros(p.From), UntilMicros: h.micros(p.Until)})
	}
	return l
}

func callOf(c Request, at int64) callLine {
	l := callLine{
		Type: "call", AtMicros: at, Caller: c.Caller, Route: c.Route, ServiceMicros: inMicros(c.ServiceTime),
		Bytes: c.Bytes, DeadlineMicros: inMicros(c.Deadline.Sub(c.At)), DataCentre: c.DataCentre, Place: c.Priority,
	}
	if c.Class != wagdocument.Learned {
		l.Class = c.Class.String()
	}
	if c.ActualClass != c.Class {
		l.Truth = c.ActualClass.String()
	}
	return l
}

// micros returns the offset of a time in the file.
func (h *Header) micros(t time.Time) int64 { return inMicros(t.Sub(h.Start)) }

func inMicros(d time.Duration) int64 { return int64(d / time.Microsecond) }
