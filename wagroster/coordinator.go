package wagroster

import "strconv"

// Coordinator returns the quota coordinator of a shard of the customers, which is one of
// the relays. Hosts know the relays of all data centres, but not all hosts of others, so
// that only among relays do they select the same one.
func (r *Roster) Coordinator(shard int) Member {
	maxCores := 0
	var relays, candidates []Member
	for _, dataCentre := range r.DataCentres() {
		if m, ok := r.Relay(dataCentre); ok {
			relays = append(relays, m)
			maxCores = max(maxCores, m.MilliCores)
		}
	}
	for _, m := range relays {
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
