//go:build race

package wagmesh

// largeSiteHosts is smaller than that of the largest site, because the race detector
// fails with the goroutines of its 474 hosts.
const largeSiteHosts = 16
