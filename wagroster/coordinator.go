package wagroster

import "strconv"

// Coordinator returns the quota coordinator of a shard of the customers. All hosts of the
// site with enough processor time can have the role, so that one bucket serves the site.
func (r *Roster) Coordinator(shard int) Member {
	maxCores := r.self.MilliCores
	var list []Member
	if !r.self.Leaving {
		list = append(list, r.self)
	}
	for _, e := range r.members {
		if !e.Leaving && e.failures == 0 {
			list = append(list, e.Member)
			maxCores = max(maxCores, e.MilliCores)
		}
	}
	candidates := list[:0]
	for _, m := range list {
		if float64(m.MilliCores) >= minCoreShare*float64(maxCores) {
			candidates = append(candidates, m)
		}
	}
	coordinator, ok := selectOwner("quota/"+strconv.Itoa(shard), candidates)
	if !ok {
		return r.self
	}
	return coordinator
}

// CountHosts returns the number of known hosts of the own data centre, this one included.
func (r *Roster) CountHosts() int { return len(r.dataCentre(r.self.DataCentre).members) + 1 }
