package wagretry

import (
	"strconv"
	"strings"
)

// maxAttempts bounds the number of attempts in an attempt header.
const maxAttempts = 1000

// Attempts is the content of an attempt header. In a request it counts the
// attempts so far; in a response it counts those of the whole path.
type Attempts struct {
	// Count includes the current attempt and is at least 1.
	Count int
	// Retried is set when a host along the path has made an extra attempt.
	Retried bool
}

// ParseAttempts parses a header value such as "2; retried". A missing or
// malformed value stands for one attempt.
func ParseAttempts(text string) Attempts {
	if text == "" {
		return Attempts{Count: 1}
	}
	count, flag, flagged := strings.Cut(text, ";")
	n, err := strconv.Atoi(strings.TrimSpace(count))
	if err != nil || n < 1 || n > maxAttempts {
		return Attempts{Count: 1}
	}
	return Attempts{Count: n, Retried: flagged && strings.TrimSpace(flag) == "retried"}
}

func (a Attempts) String() string {
	if a == (Attempts{Count: 1}) {
		return "1"
	}
	text := strconv.Itoa(max(a.Count, 1))
	if a.Retried {
		text += "; retried"
	}
	return text
}

// Add returns the attempts to send with a request after extra attempts at this
// host.
func (a Attempts) Add(extra int) Attempts {
	return Attempts{Count: min(max(a.Count, 1)+extra, maxAttempts), Retried: a.Retried || extra > 0}
}

// Merge combines the attempts of this host with those that a response reports.
func (a Attempts) Merge(reported Attempts) Attempts {
	return Attempts{Count: max(a.Count, reported.Count), Retried: a.Retried || reported.Retried}
}
