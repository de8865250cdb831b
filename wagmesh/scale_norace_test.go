//go:build !race

package wagmesh

// largeSiteHosts is the number of hosts in a data centre of the largest site.
const largeSiteHosts = 79
