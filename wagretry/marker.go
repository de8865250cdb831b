package wagretry

import (
	"strconv"
	"strings"
)

// maxAttempts bounds the attempts that a marker can state.
const maxAttempts = 1000

// Attempts travels with a call. Downward it states the attempts made so far,
// upward the attempts made in all and whether a host repeated the call.
type Attempts struct {
	// Count counts the current attempt too and is at least 1.
	Count int
	// Retried is set once a host along the path has made an extra attempt.
	Retried bool
}

// ParseAttempts reads a marker such as "2; retried". Text that is not well
// formed, or absent, states one attempt.
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

func (m Attempts) String() string {
	if m == (Attempts{Count: 1}) {
		return "1"
	}
	text := strconv.Itoa(max(m.Count, 1))
	if m.Retried {
		text += "; retried"
	}
	return text
}

// Add returns the marker of a request after extra attempts at this host.
func (m Attempts) Add(extra int) Attempts {
	return Attempts{Count: min(max(m.Count, 1)+extra, maxAttempts), Retried: m.Retried || extra > 0}
}

// Merge merges the marker of an answer from below into that of this host.
func (m Attempts) Merge(below Attempts) Attempts {
	return Attempts{Count: max(m.Count, below.Count), Retried: m.Retried || below.Retried}
}
