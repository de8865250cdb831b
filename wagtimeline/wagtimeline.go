// Package wagtimeline collects the events of several processes and writes them as one
// time line: as text, as JSON Lines or as a chart.
package wagtimeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// maxLineBytes bounds one line of a stored time line or a log.
const maxLineBytes = 1 << 20

// Select returns the events that the filter matches, in the same order.
func Select(events []wagevent.Event, f wagevent.Filter) []wagevent.Event {
	var selected []wagevent.Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// WriteText writes one line for each event, for people to read.
func WriteText(w io.Writer, events []wagevent.Event) (err error) {
	defer func() { err = errors.WithMessage(err, "write time line") }()
	b := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(b, "%s  %-12s %-9s", e.Time.UTC().Format("15:04:05.000000"), e.Host, e.Kind)
		for _, field := range []struct{ name, value string }{
			{"service", e.Service}, {"server", e.Server}, {"caller", e.Caller}, {"request", e.Request},
		} {
			if field.value != "" {
				fmt.Fprintf(b, " %s=%s", field.name, field.value)
			}
		}
		if e.Detail != "" {
			b.WriteString("  " + e.Detail)
		}
		b.WriteByte('\n')
	}
	return b.Flush()
}

// WriteJSON writes the events as JSON Lines.
func WriteJSON(w io.Writer, events []wagevent.Event) (err error) {
	defer func() { err = errors.WithMessage(err, "write time line") }()
	b := bufio.NewWriter(w)
	encoder := json.NewEncoder(b)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return b.Flush()
}

// ReadJSON reads events that WriteJSON wrote.
func ReadJSON(r io.Reader) (events []wagevent.Event, err error) {
	defer func() { err = errors.WithMessage(err, "read time line") }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		var e wagevent.Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		events = append(events, e)
	}
	return events, scanner.Err()
}
