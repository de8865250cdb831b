package wagpeer

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/wagtailspar/wagtailspar/wagrollout"
)

// Bounds of the fields of messages. A heartbeat with all fields at their bounds is
// smaller than maxMessageBytes.
const (
	maxNameLength         = 64
	maxTextLength         = 256
	maxReachedDataCentres = 64
	maxLoads              = 64
	maxObservations       = 64
	maxMembers            = 64
	maxDocumentBytes      = 1 << 20
	maxState              = 4
	maxCount              = 1 << 20
	maxUnixMillis         = 1 << 48
)

// FieldError reports a field of a message whose value is not allowed.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: %s", e.Field, e.Reason)
}

// validator keeps the first error of a message.
type validator struct {
	err error
}

func (v *validator) require(ok bool, field, reason string) {
	if !ok && v.err == nil {
		v.err = &FieldError{Field: field, Reason: reason}
	}
}

func (v *validator) checkName(field, value string) {
	v.require(value != "" && len(value) <= maxNameLength, field, "absent or too long")
}

func (v *validator) checkMax(field string, value, limit int) {
	v.require(value <= limit, field, "too many or too long")
}

func (v *validator) checkMillis(field string, value int64) {
	v.require(value >= 0 && value <= maxUnixMillis, field, "out of range")
}

func (v *validator) checkAddress(field, value string) {
	_, err := netip.ParseAddrPort(value)
	v.require(err == nil && len(value) <= maxNameLength, field, "not an IP address with a port")
}

// Validate returns a *FieldError for the first field of a message that is not
// allowed, or nil.
func Validate(m proto.Message) error {
	v := &validator{}
	switch m := m.(type) {
	case *HeartbeatMessage:
		v.checkHeartbeat(m)
	case *ConfirmMessage:
		v.checkName("name", m.Name)
	case *ConfirmedMessage, *SharedMessage, *EventsMessage:
	case *IndexMessage:
		v.require(len(m.Digests) == wagrollout.BucketCount, "digests", "not one per bucket")
	case *IndexedMessage:
		v.checkIndexed(m)
	case *PullMessage:
		v.checkPull(m)
	case *DocumentsMessage:
		v.checkDocuments(m)
	case *ShareMessage:
		v.checkObservations(m.Observations)
	case *EventMessage:
		v.checkEvent(m)
	default:
		v.require(false, "type", "unknown message")
	}
	return v.err
}

func (v *validator) checkHeartbeat(m *HeartbeatMessage) {
	v.checkMember("from", m.From)
	v.checkMillis("confirmed", m.Confirmed)
	v.checkMillis("sent", m.Sent)
	v.checkMillis("next", m.Next)
	v.checkMax("reached", len(m.Reached), maxReachedDataCentres)
	for _, name := range m.Reached {
		v.checkName("reached", name)
	}
	v.checkMax("loads", len(m.Loads), maxLoads)
	v.checkMax("members", len(m.Members), maxMembers)
	for _, l := range m.Loads {
		v.checkLoad(l)
	}
	for _, o := range m.Members {
		v.checkMember("members", o)
	}
}

func (v *validator) checkLoad(l *LoadMessage) {
	v.checkName("loads.service", l.GetService())
	v.checkName("loads.dataCentre", l.GetDataCentre())
	v.require(max(l.GetSlots(), l.GetServers()) <= maxCount && l.GetFreeHundredths() <= 100*maxCount, "loads", "a count is out of range")
	v.checkMillis("loads.at", l.GetAt())
}

func (v *validator) checkMember(field string, m *MemberMessage) {
	if m == nil {
		v.require(false, field, "absent")
		return
	}
	v.checkName(field+".name", m.Name)
	v.checkName(field+".dataCentre", m.DataCentre)
	v.checkName(field+".region", m.Region)
	v.require(m.Incarnation != 0, field+".incarnation", "absent")
	v.require(m.State <= maxState, field+".state", "unknown state")
	v.checkAddress(field+".forward", m.Forward)
	v.checkAddress(field+".peer", m.Peer)
}

func (v *validator) checkObservations(list []*ObservationMessage) {
	v.checkMax("observations", len(list), maxObservations)
	for _, o := range list {
		v.checkName("observations.service", o.GetService())
		v.checkAddress("observations.address", o.GetAddress())
		v.checkName("observations.sign", o.GetSign())
		v.checkMillis("observations.first", o.GetFirst())
		v.checkName("observations.observer", o.GetObserver())
	}
}

func (v *validator) checkIndexed(m *IndexedMessage) {
	v.checkMillis("confirmed", m.Confirmed)
	v.checkMax("entries", len(m.Entries), wagrollout.MaxServices)
	for _, e := range m.Entries {
		v.checkName("entries.service", e.GetService())
		v.require(e.GetRevision() >= 0, "entries.revision", "out of range")
	}
}

func (v *validator) checkPull(m *PullMessage) {
	v.checkMax("services", len(m.Services), wagrollout.MaxPulledDocuments)
	for _, s := range m.Services {
		v.checkName("services", s)
	}
}

func (v *validator) checkDocuments(m *DocumentsMessage) {
	v.checkMax("documents", len(m.Documents), wagrollout.MaxPulledDocuments)
	for _, d := range m.Documents {
		v.checkName("documents.service", d.GetService())
		v.checkMax("documents.text", len(d.GetText()), maxDocumentBytes)
	}
}

func (v *validator) checkEvent(m *EventMessage) {
	v.require(m.Sequence != 0, "sequence", "absent")
	for _, s := range []string{m.Host, m.Kind, m.Service, m.Server, m.Caller, m.Request} {
		v.checkMax("names", len(s), maxTextLength)
	}
	v.checkMax("detail", len(m.Detail), 4*maxTextLength)
}
