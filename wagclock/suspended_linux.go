package wagclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns how long the host was suspended since its start: the steady clock
// of Linux does not count that time, CLOCK_BOOTTIME does.
func suspendedTime() (time.Duration, bool) {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - steady.Nano()), true
}
