package wagini

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration returns a key that stores a duration between least and most.
func Duration(name, preset, help string, target *time.Duration, least, most time.Duration) Key {
	set := func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return errors.New("not a duration")
		}
		if d < least || d > most {
			return errors.New("out of range")
		}
		*target = d
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: fmt.Sprintf("a duration from %s to %s, such as 250ms", least, most)}
}

// OnSet returns a key that calls a function after it has stored a value.
func (k Key) OnSet(stored func()) Key {
	set := k.Set
	k.Set = func(value string) error {
		if err := set(value); err != nil {
			return err
		}
		stored()
		return nil
	}
	return k
}

// Int returns a key that stores a whole number between least and most.
func Int(name, preset, help string, target *int, least, most int) Key {
	var n int64
	return Int64(name, preset, help, &n, int64(least), int64(most)).OnSet(func() { *target = int(n) })
}

// Int64 returns a key that stores a whole number between least and most.
func Int64(name, preset, help string, target *int64, least, most int64) Key {
	set := func(value string) error {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return errors.New("not a whole number")
		}
		if n < least || n > most {
			return errors.New("out of range")
		}
		*target = n
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: fmt.Sprintf("a whole number from %d to %d", least, most)}
}

// Float returns a key that stores a number between least and most.
func Float(name, preset, help string, target *float64, least, most float64) Key {
	set := func(value string) error {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.New("not a number")
		}
		if !(x >= least && x <= most) {
			return errors.New("out of range")
		}
		*target = x
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: fmt.Sprintf("a number from %g to %g", least, most)}
}

// Bool returns a key that stores true or false.
func Bool(name, preset, help string, target *bool) Key {
	set := func(value string) error {
		switch value {
		case "true", "false":
			*target = value == "true"
			return nil
		}
		return errors.New("not a truth value")
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: "true, false"}
}

// Choice returns a key that stores one of the given words.
func Choice(name, preset, help string, target *string, words ...string) Key {
	set := func(value string) error {
		for _, w := range words {
			if value == w {
				*target = value
				return nil
			}
		}
		return errors.New("unknown word")
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: strings.Join(words, ", ")}
}

// Pattern returns a key that stores text that matches a regular expression.
func Pattern(name, preset, help string, target *string, expression *regexp.Regexp, allowed string) Key {
	set := func(value string) error {
		if !expression.MatchString(value) {
			return errors.New("malformed text")
		}
		*target = value
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: allowed}
}

// Words returns a key that stores a list of words separated by commas, each of
// which matches a regular expression.
func Words(name, preset, help string, target *[]string, expression *regexp.Regexp, allowed string) Key {
	set := func(value string) error {
		words := splitList(value)
		for _, w := range words {
			if !expression.MatchString(w) {
				return errors.Errorf("malformed item %q", w)
			}
		}
		*target = words
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: allowed}
}

// AddrPort returns a key that stores an IP address with a port. An empty
// default leaves the address invalid, which stands for "not set".
func AddrPort(name, preset, help string, target *netip.AddrPort) Key {
	set := func(value string) error {
		if value == "" && preset == "" {
			*target = netip.AddrPort{}
			return nil
		}
		a, err := netip.ParseAddrPort(value)
		if err != nil {
			return errors.New("not an IP address with a port")
		}
		*target = a
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: "an IP address with a port, such as 127.0.0.1:8080"}
}

// AddrPorts returns a key that stores a list of addresses.
func AddrPorts(name, preset, help string, target *[]netip.AddrPort) Key {
	set := func(value string) error {
		words := splitList(value)
		addresses := make([]netip.AddrPort, 0, len(words))
		for _, w := range words {
			a, err := netip.ParseAddrPort(w)
			if err != nil {
				return errors.Errorf("%q is not an IP address with a port", w)
			}
			addresses = append(addresses, a)
		}
		*target = addresses
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: "IP addresses with ports, separated by commas"}
}

// Ints returns a key that stores whole numbers separated by commas.
func Ints(name, preset, help string, target *[]int, least, most int) Key {
	set := func(value string) error {
		words := splitList(value)
		numbers := make([]int, 0, len(words))
		for _, w := range words {
			n, err := strconv.Atoi(w)
			if err != nil || n < least || n > most {
				return errors.Errorf("%q is not a whole number in range", w)
			}
			numbers = append(numbers, n)
		}
		*target = numbers
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: fmt.Sprintf("whole numbers from %d to %d, separated by commas", least, most)}
}

// Time returns a key that stores an absolute time. Empty text is the zero time.
func Time(name, preset, help string, target *time.Time) Key {
	set := func(value string) error {
		if value == "" {
			*target = time.Time{}
			return nil
		}
		t, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return errors.New("not a time")
		}
		*target = t
		return nil
	}
	return Key{Name: name, Default: preset, Help: help, Set: set, Allowed: "a time as in RFC 3339, such as 2026-12-04T09:00:00Z"}
}

func splitList(value string) []string {
	var words []string
	for _, w := range strings.Split(value, ",") {
		w = strings.TrimSpace(w)
		if w != "" {
			words = append(words, w)
		}
	}
	return words
}
