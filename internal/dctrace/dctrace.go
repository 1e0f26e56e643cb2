// Package dctrace finds what the logs of all hosts say about one request.
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
	// contextWindow is the span before and after the request within which events
	// of its hosts are part of the story.
	contextWindow = 3 * time.Second
	// maxLineBytes bounds a log line. Longer ones are skipped.
	maxLineBytes = 1 << 20
)

// Event is one log line.
type Event struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	// Request is the id of the request that the line is about, empty for lines
	// about the host.
	Request string `json:"request,omitempty"`
	// Fields holds all other fields of the line.
	Fields map[string]any `json:"fields,omitempty"`
	// Sends lists the transmissions to servers.
	Sends []Send `json:"sends,omitempty"`
}

// Send is one transmission of a request to a server.
type Send struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Address string `json:"address"`
	// At is the time since the arrival of the request, in seconds.
	At float64 `json:"at"`
	// Elapsed is the time until the outcome, in seconds, 0 while there is none.
	Elapsed float64 `json:"elapsed"`
	Reason  string  `json:"reason"`
	Status  int     `json:"status"`
	Extra   bool    `json:"extra"`
	Error   string  `json:"error"`
}

// Trace is what the logs say about a request.
type Trace struct {
	Request string `json:"request"`
	// Events are the lines of the request, in order of time.
	Events []Event `json:"events"`
	// HostEvents are lines about the same hosts at the time.
	HostEvents []Event `json:"around"`
	// Omitted is the number of lines that would be around, but are about servers
	// of services that the request has nothing to do with.
	Omitted int `json:"left-out"`
}

// servicesWithoutServerField lists the services of a request that have no server.
const servicesWithoutServerField = "services-without-server"

// services returns the services that the lines of the request name.
func (s *Trace) services() map[string]bool {
	names := make(map[string]bool)
	for _, event := range s.Events {
		for _, send := range event.Sends {
			names[send.Service] = true
		}
		unserved, _ := event.Fields[servicesWithoutServerField].([]any)
		for _, each := range unserved {
			if name, ok := each.(string); ok {
				names[name] = true
			}
		}
	}
	return names
}

type logLine struct {
	TS      time.Time `json:"ts"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	Request string    `json:"request"`
	Sends   []Send    `json:"sends"`
}

// standardFields are the fields of a line that have a place of their own.
var standardFields = []string{"ts", "level", "msg", "host", "request", "sends"}

// Find reads logs and returns the story of a request. Lines that are not log
// lines of a host are skipped; text before the JSON of a line is allowed.
func Find(request string, logs ...io.Reader) (story *Trace, err error) {
	story = &Trace{Request: request}
	var others []Event
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			event, ok := parseLine(scanner.Bytes())
			switch {
			case !ok:
			case event.Request == request:
				story.Events = append(story.Events, event)
			case event.Request == "":
				others = append(others, event)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	byTime := func(a, b Event) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(story.Events, byTime)
	concerned := story.services()
	for _, other := range others {
		if !slices.ContainsFunc(story.Events, func(e Event) bool {
			return e.Host == other.Host && e.Time.Sub(other.Time).Abs() <= contextWindow
		}) {
			continue
		}
		if service, ok := other.Fields["service"].(string); ok && len(concerned) > 0 && !concerned[service] {
			story.Omitted++
			continue
		}
		story.HostEvents = append(story.HostEvents, other)
	}
	slices.SortStableFunc(story.HostEvents, byTime)
	return story, nil
}

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
