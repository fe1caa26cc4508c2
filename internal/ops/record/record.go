// Package record finds one request in the logs of all processes: the lines that
// name it, and what the processes came to believe about its endpoints at that
// time.
package record

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

const (
	// maxLine bounds one line; longer ones are skipped, because no process writes
	// them.
	maxLine = 1 << 20
	// before is how long before the request an endpoint's changes still matter:
	// longer than any of them takes to reach all processes.
	before = 5 * time.Second
	// maxContext bounds the lines about endpoints that are kept while reading, some
	// 30 MB; what comes after that many is left out.
	maxContext = 1 << 16
	// keyEndpoint names the endpoint that a line is about.
	keyEndpoint = "endpoint"
)

// Pair is one key with its value.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	Process string    `json:"process"`
	// Related says that the line names an endpoint of the request and not the
	// request itself.
	Related bool   `json:"about,omitempty"`
	Pairs   []Pair `json:"pairs"`
}

// Value returns the value of a key, "" without it.
func (l *Line) Value(key string) string {
	for _, pair := range l.Pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// History is what logs tell of one request, in the order of time.
type History struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Skipped counts lines that could not be read as key=value pairs.
	Skipped int `json:"skipped"`
}

// Read reads logs, in any order, and returns the history of a request. What
// stands before the time of a line, as some collectors write, is passed over.
func Read(from io.Reader, request string) (History, error) {
	history := History{Request: request}
	var context []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		names := bytes.Contains(scanner.Bytes(), []byte(request))
		if !names && !bytes.Contains(scanner.Bytes(), []byte(endpointChanged)) {
			continue
		}
		line, ok := Parse(scanner.Text())
		switch {
		case !ok:
			history.Skipped++
		case line.Value(logs.KeyRequest) == request:
			history.Lines = append(history.Lines, line)
		case line.Message == endpointChanged && len(context) < maxContext:
			context = append(context, line)
		}
	}
	history.Lines = append(history.Lines, about(history.Lines, context)...)
	slices.SortStableFunc(history.Lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return history, scanner.Err()
}

// endpointChanged is the message of a changed belief about an endpoint.
const endpointChanged = "endpoint changed"

// about returns the lines on endpoints that the request was sent to, from a
// little before it began to its end.
func about(own, context []Line) []Line {
	var found []Line
	if len(own) == 0 {
		return nil
	}
	order := func(a, b Line) int { return a.Time.Compare(b.Time) }
	first, last := slices.MinFunc(own, order).Time.Add(-before), slices.MaxFunc(own, order).Time
	for _, line := range context {
		used := slices.ContainsFunc(own, func(l Line) bool {
			return l.Value(keyEndpoint) != "" && l.Value(keyEndpoint) == line.Value(keyEndpoint)
		})
		if used && !line.Time.Before(first) && !line.Time.After(last) {
			line.Related = true
			found = append(found, line)
		}
	}
	return found
}

// Parse reads one line; false if it holds no time and message.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	var line Line
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.add(string(decoder.Key()), string(decoder.Value()))
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero() && line.Message != ""
}

func (l *Line) add(key, value string) {
	switch key {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil { // a line without a time is counted as skipped
			l.Time = at
		}
	case "level":
		l.Level = value
	case "msg":
		l.Message = value
	case logs.KeyProcess:
		l.Process = value
	default:
		l.Pairs = append(l.Pairs, Pair{Key: key, Value: value})
	}
}
