// Package dctrace collects the log lines of all hosts that concern one request.
package dctrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"
)

const (
	// contextWindow is the maximum time between a line about a host and a line of
	// the request from the same host for the former to be part of the trace.
	contextWindow = 3 * time.Second
	// maxLineBytes is the maximum length of a log line. Find fails on a longer
	// one.
	maxLineBytes = 1 << 20
)

// Event is one log line.
type Event struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	// Request is the ID of the request that the line is about. It is empty for
	// lines about the host.
	Request string `json:"request,omitempty"`
	// Fields holds all other fields of the line.
	Fields map[string]any `json:"fields,omitempty"`
	// Sends lists the transmissions of the request to servers.
	Sends []Send `json:"sends,omitempty"`
}

// Send is one transmission of a request to a server.
type Send struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Address string `json:"address"`
	// At is the time from the arrival of the request to the transmission, in
	// seconds.
	At float64 `json:"at"`
	// Elapsed is the time from the transmission to its outcome, in seconds; 0
	// while there is no outcome.
	Elapsed float64 `json:"elapsed"`
	// Reason is the reason code of the outcome.
	Reason string `json:"reason"`
	// Status is the HTTP status, 0 if there is none.
	Status int `json:"status"`
	// Extra is set for hedges and retries.
	Extra bool   `json:"extra"`
	Error string `json:"error"`
}

// Trace holds the log lines that concern one request.
type Trace struct {
	Request string `json:"request"`
	// Events are the lines of the request, in order of time.
	Events []Event `json:"events"`
	// HostEvents are the lines about the same hosts, not about any request, that
	// are within contextWindow of a line of the request, in order of time.
	HostEvents []Event `json:"around"`
	// Omitted is the number of lines left out of HostEvents because they are
	// about servers of services that the lines of the request do not name.
	Omitted int `json:"left-out"`
}

// servicesWithoutServerField is the log field that lists the services of a
// request for which there is no server.
const servicesWithoutServerField = "services-without-server"

// services returns the services that the lines of the request name.
func (t *Trace) services() map[string]bool {
	names := make(map[string]bool)
	for _, event := range t.Events {
		for _, send := range event.Sends {
			names[send.Service] = true
		}
		unserved, _ := event.Fields[servicesWithoutServerField].([]any)
		for _, value := range unserved {
			if name, ok := value.(string); ok {
				names[name] = true
			}
		}
	}
	return names
}

// logLine holds the standard fields of a log line.
type logLine struct {
	TS      time.Time `json:"ts"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	Request string    `json:"request"`
	Sends   []Send    `json:"sends"`
}

// standardFields lists the log fields that Event has a Go field for. All others
// go to Event.Fields.
var standardFields = []string{"ts", "level", "msg", "host", "request", "sends"}

// Find reads logs and returns the trace of a request. Lines that are not log
// lines in JSON are skipped; text before the JSON object of a line is ignored.
func Find(request string, logs ...io.Reader) (trace *Trace, err error) {
	trace = &Trace{Request: request}
	var others []Event
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			event, ok := parseLine(scanner.Bytes())
			switch {
			case !ok:
			case event.Request == request:
				trace.Events = append(trace.Events, event)
			case event.Request == "":
				others = append(others, event)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	byTime := func(a, b Event) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(trace.Events, byTime)
	requestServices := trace.services()
	for _, other := range others {
		if !slices.ContainsFunc(trace.Events, func(e Event) bool {
			return e.Host == other.Host && e.Time.Sub(other.Time).Abs() <= contextWindow
		}) {
			continue
		}
		if service, ok := other.Fields["service"].(string); ok && len(requestServices) > 0 && !requestServices[service] {
			trace.Omitted++
			continue
		}
		trace.HostEvents = append(trace.HostEvents, other)
	}
	slices.SortStableFunc(trace.HostEvents, byTime)
	return trace, nil
}

// parseLine parses a log line. It returns false if the line has no JSON object
// with a time and a message.
func parseLine(text []byte) (event Event, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Event{}, false
	}
	text = text[start:]
	var parsed logLine
	if json.Unmarshal(text, &parsed) != nil || parsed.TS.IsZero() || parsed.Message == "" {
		return Event{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text, &fields) != nil {
		return Event{}, false
	}
	for _, name := range standardFields {
		delete(fields, name)
	}
	return Event{
		Time: parsed.TS, Host: parsed.Host, Level: parsed.Level, Message: parsed.Message,
		Request: parsed.Request, Fields: fields, Sends: parsed.Sends,
	}, true
}
