// Package waglimits derives the limits of a host from the memory and the descriptors that
// its settings permit.
package waglimits

const (
	// callerMemoryDivisor is the part of the memory that callers may take. The garbage
	// collector may need twice the live bytes, and up to 64 MB were measured for the rest
	// of a host; the smallest host has 184 MB.
	callerMemoryDivisor = 4
	// defaultCallerMemory applies without a memory limit.
	defaultCallerMemory = 64 << 20
	// goMemoryNumerator and goMemoryDivisor are the part of the memory at which the
	// garbage collector works harder. The rest is for what the Go runtime does not count:
	// the pages of the program, which take 20 to 30 MB, and garbage between collections.
	goMemoryNumerator, goMemoryDivisor = 3, 4
	// fileDescriptors are kept for files: the settings, the log and those of the runtime.
	fileDescriptors = 200
	// minDescriptors is what connections share at least, so that a host whose settings
	// permit fewer descriptors still serves a few callers.
	minDescriptors = 64
	// callerDivisor is the part of the descriptors that callers may take, and
	// serverNumerator / serverDivisor that of connections to servers: connections of
	// callers are idle for longer. The last 1/8 is for peers, the store and the operator
	// port.
	callerDivisor                  = 2
	serverNumerator, serverDivisor = 3, 8
)

// Limits bound what a host holds on behalf of others.
type Limits struct {
	// CallerMemoryBytes bounds the memory that is held for callers.
	CallerMemoryBytes int64
	// CallerConnections and ServerConnections bound the connections of callers and those
	// to servers, with the ones for probes; 0 means no bound.
	CallerConnections, ServerConnections int
	// GoMemoryBytes is the soft memory limit of the Go runtime; 0 means none. It makes the
	// garbage collector work harder and does not bound what callers hold.
	GoMemoryBytes int64
}

// Derive returns the limits of a host with the given memory and file descriptors. 0 means
// that the settings state no limit.
func Derive(memoryBytes int64, maxFileDescriptors int) Limits {
	l := Limits{CallerMemoryBytes: defaultCallerMemory}
	if memoryBytes > 0 {
		l.CallerMemoryBytes = memoryBytes / callerMemoryDivisor
		l.GoMemoryBytes = memoryBytes / goMemoryDivisor * goMemoryNumerator
	}
	if maxFileDescriptors > 0 {
		descriptors := max(maxFileDescriptors-fileDescriptors, minDescriptors)
		l.CallerConnections = descriptors / callerDivisor
		l.ServerConnections = descriptors * serverNumerator / serverDivisor
	}
	return l
}
