package wagmesh

import "github.com/wagtailspar/wagtailspar/wagplacement"

// aloneShare returns which cold servers a request may use that this host decides on. As
// the owner of the group it may use all, unless it reaches only a minority of the hosts of
// its data centre: the others may have another owner then.
func (m *Mesh) aloneShare(isOwner bool) wagplacement.AloneShare {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.roster.OwnShare()
	if isOwner && own.HasMost {
		return wagplacement.AloneShare{}
	}
	return wagplacement.AloneShare{Index: uint16(own.Index), Hosts: uint16(own.Hosts)}
}
