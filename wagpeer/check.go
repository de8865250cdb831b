package wagpeer

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/wagtailspar/wagtailspar/wagrollout"
)

// Bounds of the fields of messages. A heartbeat at its bounds stays below
// maxMessage.
const (
	maxName         = 64
	maxText         = 256
	maxReached      = 64
	maxLoads        = 64
	maxObservations = 64
	maxMembers      = 64
	maxDocument     = 1 << 20
	maxState        = 4
	maxCount        = 1 << 20
	maxMillis       = 1 << 48
)

// FieldError tells which field of a message is not allowed.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: %s", e.Field, e.Reason)
}

// checker keeps the first fault of a message.
type checker struct {
	fault error
}

func (c *checker) require(ok bool, field, reason string) {
	if !ok && c.fault == nil {
		c.fault = &FieldError{Field: field, Reason: reason}
	}
}

func (c *checker) name(field, value string) {
	c.require(value != "" && len(value) <= maxName, field, "absent or too long")
}

func (c *checker) most(field string, value, most int) {
	c.require(value <= most, field, "too many or too long")
}

func (c *checker) millis(field string, value int64) {
	c.require(value >= 0 && value <= maxMillis, field, "out of range")
}

func (c *checker) address(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil && len(value) <= maxName, field, "not an IP address with a port")
}

// Validate reports the first field of a message from a peer that is out of bounds.
func Validate(m proto.Message) error {
	c := &checker{}
	switch m := m.(type) {
	case *HeartbeatMessage:
		c.heartbeat(m)
	case *ConfirmMessage:
		c.name("name", m.Name)
	case *ConfirmedMessage, *SharedMessage, *EventsMessage:
	case *IndexMessage:
		c.require(len(m.Digests) == wagrollout.BucketCount, "digests", "not one per bucket")
	case *IndexedMessage:
		c.indexed(m)
	case *PullMessage:
		c.pull(m)
	case *DocumentsMessage:
		c.documents(m)
	case *ShareMessage:
		c.observations(m.Observations)
	case *EventMessage:
		c.event(m)
	default:
		c.require(false, "type", "unknown message")
	}
	return c.fault
}

func (c *checker) heartbeat(m *HeartbeatMessage) {
	c.member("from", m.From)
	c.millis("confirmed", m.Confirmed)
	c.millis("sent", m.Sent)
	c.millis("next", m.Next)
	c.most("reached", len(m.Reached), maxReached)
	for _, name := range m.Reached {
		c.name("reached", name)
	}
	c.most("loads", len(m.Loads), maxLoads)
	c.most("members", len(m.Members), maxMembers)
	for _, l := range m.Loads {
		c.load(l)
	}
	for _, o := range m.Members {
		c.member("members", o)
	}
}

func (c *checker) load(l *LoadMessage) {
	c.name("loads.service", l.GetService())
	c.name("loads.dataCentre", l.GetDataCentre())
	c.require(max(l.GetSlots(), l.GetServers()) <= maxCount && l.GetFreeHundredths() <= 100*maxCount, "loads", "a count is out of range")
	c.millis("loads.at", l.GetAt())
}

func (c *checker) member(field string, m *MemberMessage) {
	if m == nil {
		c.require(false, field, "absent")
		return
	}
	c.name(field+".name", m.Name)
	c.name(field+".dataCentre", m.DataCentre)
	c.name(field+".region", m.Region)
	c.require(m.Incarnation != 0, field+".incarnation", "absent")
	c.require(m.State <= maxState, field+".state", "unknown state")
	c.address(field+".forward", m.Forward)
	c.address(field+".peer", m.Peer)
}

func (c *checker) observations(list []*ObservationMessage) {
	c.most("observations", len(list), maxObservations)
	for _, o := range list {
		c.name("observations.service", o.GetService())
		c.address("observations.address", o.GetAddress())
		c.name("observations.sign", o.GetSign())
		c.millis("observations.first", o.GetFirst())
		c.name("observations.observer", o.GetObserver())
	}
}

func (c *checker) indexed(m *IndexedMessage) {
	c.millis("confirmed", m.Confirmed)
	c.most("entries", len(m.Entries), wagrollout.MaxServices)
	for _, e := range m.Entries {
		c.name("entries.service", e.GetService())
		c.require(e.GetRevision() >= 0, "entries.revision", "out of range")
	}
}

func (c *checker) pull(m *PullMessage) {
	c.most("services", len(m.Services), wagrollout.MaxPulledDocuments)
	for _, s := range m.Services {
		c.name("services", s)
	}
}

func (c *checker) documents(m *DocumentsMessage) {
	c.most("documents", len(m.Documents), wagrollout.MaxPulledDocuments)
	for _, d := range m.Documents {
		c.name("documents.service", d.GetService())
		c.most("documents.text", len(d.GetText()), maxDocument)
	}
}

func (c *checker) event(m *EventMessage) {
	c.require(m.Sequence != 0, "sequence", "absent")
	for _, s := range []string{m.Host, m.Kind, m.Service, m.Server, m.Caller, m.Request} {
		c.most("names", len(s), maxText)
	}
	c.most("detail", len(m.Detail), 4*maxText)
}
