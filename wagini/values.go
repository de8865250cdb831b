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

// Duration returns a key that stores a duration between minimum and maximum.
func Duration(name, defaultValue, help string, target *time.Duration, minimum, maximum time.Duration) Key {
	set := func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return errors.New("not a duration")
		}
		if d < minimum || d > maximum {
			return errors.New("out of range")
		}
		*target = d
		return nil
	}
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: fmt.Sprintf("a duration from %s to %s, such as 250ms", minimum, maximum)}
}

// OnSet returns a key that calls callback after it has stored a value.
func (k Key) OnSet(callback func()) Key {
	set := k.Set
	k.Set = func(value string) error {
		if err := set(value); err != nil {
			return err
		}
		callback()
		return nil
	}
	return k
}

// Int returns a key that stores a whole number between minimum and maximum.
func Int(name, defaultValue, help string, target *int, minimum, maximum int) Key {
	var n int64
	return Int64(name, defaultValue, help, &n, int64(minimum), int64(maximum)).OnSet(func() { *target = int(n) })
}

// Int64 returns a key that stores a whole number between minimum and maximum.
func Int64(name, defaultValue, help string, target *int64, minimum, maximum int64) Key {
	set := func(value string) error {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return errors.New("not a whole number")
		}
		if n < minimum || n > maximum {
			return errors.New("out of range")
		}
		*target = n
		return nil
	}
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: fmt.Sprintf("a whole number from %d to %d", minimum, maximum)}
}

// Float returns a key that stores a number between minimum and maximum.
func Float(name, defaultValue, help string, target *float64, minimum, maximum float64) Key {
	set := func(value string) error {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.New("not a number")
		}
		if !(x >= minimum && x <= maximum) {
			return errors.New("out of range")
		}
		*target = x
		return nil
	}
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: fmt.Sprintf("a number from %g to %g", minimum, maximum)}
}

// Bool returns a key that stores true or false.
func Bool(name, defaultValue, help string, target *bool) Key {
	set := func(value string) error {
		switch value {
		case "true", "false":
			*target = value == "true"
			return nil
		}
		return errors.New("not a truth value")
	}
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: "true, false"}
}

// Choice returns a key that stores one of the given words.
func Choice(name, defaultValue, help string, target *string, words ...string) Key {
	set := func(value string) error {
		for _, w := range words {
			if value == w {
				*target = value
				return nil
			}
		}
		return errors.New("unknown word")
	}
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: strings.Join(words, ", ")}
}

// Pattern returns a key that stores text that matches a regular expression.
func Pattern(name, defaultValue, help string, target *string, expression *regexp.Regexp, allowed string) Key {
	set := func(value string) error {
		if !expression.MatchString(value) {
			return errors.New("malformed text")
		}
		*target = value
		return nil
	}
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: allowed}
}

// Words returns a key that stores a list of words separated by commas, each of
// which matches a regular expression.
func Words(name, defaultValue, help string, target *[]string, expression *regexp.Regexp, allowed string) Key {
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
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: allowed}
}

// AddrPort returns a key that stores an IP address with a port. If the default is
// empty, an empty value is allowed too and stores the zero AddrPort.
func AddrPort(name, defaultValue, help string, target *netip.AddrPort) Key {
	set := func(value string) error {
		if value == "" && defaultValue == "" {
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
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: "an IP address with a port, such as 127.0.0.1:8080"}
}

// AddrPorts returns a key that stores a list of IP addresses with ports, separated
// by commas.
func AddrPorts(name, defaultValue, help string, target *[]netip.AddrPort) Key {
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
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: "IP addresses with ports, separated by commas"}
}

// Ints returns a key that stores a list of whole numbers separated by commas, each
// between minimum and maximum.
func Ints(name, defaultValue, help string, target *[]int, minimum, maximum int) Key {
	set := func(value string) error {
		words := splitList(value)
		numbers := make([]int, 0, len(words))
		for _, w := range words {
			n, err := strconv.Atoi(w)
			if err != nil || n < minimum || n > maximum {
				return errors.Errorf("%q is not a whole number in range", w)
			}
			numbers = append(numbers, n)
		}
		*target = numbers
		return nil
	}
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: fmt.Sprintf("whole numbers from %d to %d, separated by commas", minimum, maximum)}
}

// Time returns a key that stores a time as in RFC 3339. An empty value stores the
// zero time.
func Time(name, defaultValue, help string, target *time.Time) Key {
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
	return Key{Name: name, Default: defaultValue, Help: help, Set: set, Allowed: "a time as in RFC 3339, such as 2026-12-04T09:00:00Z"}
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
