package wagroster

import (
	"cmp"
	"slices"
)

// OwnShare describes the place of this host among the hosts of its data centre that have
// not left, reachable or not.
type OwnShare struct {
	// Index is the index of this host by name, and Hosts their number.
	Index, Hosts int
	// HasMost is set if at least half of them are reachable, this host included. Otherwise
	// another part of the data centre may have other owners.
	HasMost bool
}

// OwnShare returns the place of this host in its data centre.
func (r *Roster) OwnShare() OwnShare {
	d := r.dataCentre(r.self.DataCentre)
	r.refresh(r.self.DataCentre, d)
	return d.ownShare
}

// countOwnShare returns the place of this host among the members of its data centre.
func (r *Roster) countOwnShare(d *dataCentre) OwnShare {
	names, reachable := []string{r.self.Name}, 1
	for _, e := range d.members {
		if e.Leaving {
			continue
		}
		names = append(names, e.Name)
		if e.failures == 0 {
			reachable++
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return OwnShare{Index: slices.Index(names, r.self.Name), Hosts: len(names), HasMost: 2*reachable >= len(names)}
}
