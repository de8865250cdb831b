// Package wagstandin provides small HTTP servers that replace parts of the platform in
// tests and in the demo: the object store, the host list and backend servers.
package wagstandin

import (
	"time"
)

const (
	// maxWatchWait bounds how long a watch of the store may wait.
	maxWatchWait = time.Minute
	// maxBodyBytes bounds the response body that a request may ask for.
	maxBodyBytes = 64 << 20
	// maxDrainDelay is how long a draining server may still get new requests.
	maxDrainDelay = 5 * time.Second
)
