//go:build !linux

package wagclock

import "time"

// suspendedTime returns false: the time of day shows how long the host was suspended.
func suspendedTime() (time.Duration, bool) { return 0, false }
