package wagmesh

import "github.com/wagtailspar/wagtailspar/wagmirror"

// updateKey identifies the changes of a kind after one position up to another.
type updateKey struct {
	kind      string
	since, at wagmirror.Position
}

// maxEncodedUpdates bounds the updates that are kept.
const maxEncodedUpdates = 8

// PushChanges sends the changes of objects to the peers that exchange updates with this
// host.
func (m *Mesh) PushChanges() {
	m.mu.Lock()
	links := m.allLinks()
	m.mu.Unlock()
	complete := m.sync.Positions()
	for _, l := range links {
		l.pushUpdates(complete)
	}
}

// encodedUpdate returns the message with the changes of a kind after a position.
func (m *Mesh) encodedUpdate(kind string, since wagmirror.Position) (*Update, error) {
	u := m.sync.UpdateSince(kind, since)
	key := updateKey{kind: kind, since: since, at: u.Position()}
	m.encodeMu.Lock()
	defer m.encodeMu.Unlock()
	if message, ok := m.encodedUpdates[key]; ok {
		return message, nil
	}
	message, err := updateMessage(u)
	if err != nil {
		return nil, err
	}
	if len(m.encodedUpdates) >= maxEncodedUpdates {
		clear(m.encodedUpdates)
	}
	m.encodedUpdates[key] = message
	return message, nil
}
