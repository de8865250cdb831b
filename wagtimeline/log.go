package wagtimeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waglog"
)

// ReadLog reads events from the log lines that hosts write to standard output
// (docs/LOGS.md). Text before the JSON object of a line is ignored. skipped counts
// the lines that hold no event. The events of several hosts are merged by time.
func ReadLog(r io.Reader) (events []wagevent.Event, skipped int, err error) {
	defer func() { err = errors.WithMessage(err, "read log") }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	hosts := make(map[string][]wagevent.Event)
	for scanner.Scan() {
		e, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		e.Sequence = uint64(len(hosts[e.Host]) + 1)
		hosts[e.Host] = append(hosts[e.Host], e)
	}
	return wagevent.Merge(slices.Collect(maps.Values(hosts))...), skipped, scanner.Err()
}

// parseLine parses one log line. ok is false when the line holds no JSON object with
// a time and a message.
func parseLine(line []byte) (e wagevent.Event, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return e, false
	}
	var fields map[string]any
	if json.Unmarshal(line[start:], &fields) != nil {
		return e, false
	}
	take := func(name string) string {
		text, _ := fields[name].(string)
		delete(fields, name)
		return text
	}
	at, err := time.Parse(time.RFC3339, take("time"))
	if err != nil {
		return e, false
	}
	e = wagevent.Event{
		Time: at, Kind: wagevent.Kind(take("msg")), Host: take("host"), Service: take("service"), Server: take("server"),
		Caller: take("caller"), Request: take("request"),
	}
	if e.Kind == "" {
		return e, false
	}
	if level, _ := fields["level"].(string); level == "info" {
		delete(fields, "level")
	}
	e.Detail = formatDetail(fields)
	return e, true
}

// formatDetail formats the fields as name=value, sorted by name.
func formatDetail(fields map[string]any) string {
	var pairs []string
	for name, value := range fields {
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}

// contextTime is how long before the end of a request earlier events still count as
// its context. The copies of the store's objects are confirmed more often than that.
const contextTime = 10 * time.Second

// kindAttempt is the kind of log lines about failed attempts.
const kindAttempt = wagevent.Kind(waglog.KindAttempt)

// Explain returns the events of a request and, as their context, the latest events from
// before its end: of each host that logged the request, the latest event of each kind
// about the host itself and about each server of the request, and of every host the
// latest failed attempt of another request at each of those servers. The order of events
// is kept, which must be that of ReadLog.
func Explain(events []wagevent.Event, request string) (requestEvents, precedingEvents []wagevent.Event) {
	hosts, servers := make(map[string]bool), make(map[string]bool)
	for _, e := range events {
		if e.Request == request {
			requestEvents = append(requestEvents, e)
			hosts[e.Host] = true
			if e.Server != "" {
				servers[e.Server] = true
			}
		}
	}
	if len(requestEvents) == 0 {
		return nil, nil
	}
	end := requestEvents[len(requestEvents)-1].Time
	latest := make(map[string]int) // index in events by host, kind and server
	for i, e := range events {
		stateChange := e.Request == "" && hosts[e.Host] && (e.Server == "" || servers[e.Server])
		failedAttempt := e.Kind == kindAttempt && e.Request != request && servers[e.Server]
		if !stateChange && !failedAttempt || e.Time.After(end) || e.Time.Before(end.Add(-contextTime)) {
			continue
		}
		latest[e.Host+"/"+string(e.Kind)+"/"+e.Server] = i
	}
	for _, i := range slices.Sorted(maps.Values(latest)) {
		precedingEvents = append(precedingEvents, events[i])
	}
	return requestEvents, precedingEvents
}
