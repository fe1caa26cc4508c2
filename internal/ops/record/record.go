// Package record collects the history of one request from the logs of all
// processes: the lines about the request, and the changes of its endpoints'
// state that the processes logged at that time.
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
	// maxLine is the longest accepted line in bytes. No process writes longer lines;
	// Read fails on one.
	maxLine = 1 << 20
	// lookBack is the time before a request in which changes of its endpoints are
	// included. It is longer than a change takes to reach all processes.
	lookBack = 5 * time.Second
	// maxEndpointLines bounds the lines about endpoints that Read keeps, about 30 MB.
	// Further lines are ignored.
	maxEndpointLines = 1 << 16
	// keyEndpoint is the log key of an endpoint.
	keyEndpoint = "endpoint"
	// keyResumes is the log key of the attempt whose stream a request resumes.
	keyResumes = "resumes"
)

// Pair is one key with its value.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one parsed log line.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	Process string    `json:"process"`
	// Related is true if the line is about an endpoint of the request and not about
	// the request itself.
	Related bool   `json:"about,omitempty"`
	Pairs   []Pair `json:"pairs"`
}

// Value returns the value of a key, or "" if the line doesn't have the key.
func (l *Line) Value(key string) string {
	for _, pair := range l.Pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// History holds the log lines about one request, ordered by time.
type History struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Skipped counts the lines that could not be parsed.
	Skipped int `json:"skipped"`
}

// Read reads log lines in any order and returns the history of a request, with what was
// decided of the later requests that resume its stream. It
// ignores text before the time of a line, such as the prefix that some log
// collectors add.
func Read(from io.Reader, request string) (History, error) {
	history := History{Request: request}
	var changes []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		hasRequest := bytes.Contains(scanner.Bytes(), []byte(request))
		if !hasRequest && !bytes.Contains(scanner.Bytes(), []byte(endpointChanged)) && !bytes.Contains(scanner.Bytes(), []byte(limitChanged)) {
			continue
		}
		line, ok := Parse(scanner.Text())
		switch {
		case !ok:
			history.Skipped++
		case line.Value(logs.KeyRequest) == request || (request != "" && line.Value(keyResumes) == request):
			history.Lines = append(history.Lines, line)
		case (line.Message == endpointChanged || isLimit(&line)) && len(changes) < maxEndpointLines:
			changes = append(changes, line)
		}
	}
	history.Lines = append(history.Lines, relatedChanges(history.Lines, changes)...)
	slices.SortStableFunc(history.Lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return history, scanner.Err()
}

const (
	// endpointChanged is the message of lines that report a change of an endpoint's
	// state as a process sees it.
	endpointChanged = "endpoint changed"
	// limitChanged begins the messages of lines that report a change of an endpoint's
	// limit.
	limitChanged = "endpoint limit "
)

func isLimit(line *Line) bool { return strings.HasPrefix(line.Message, limitChanged) }

// relatedChanges returns the changes of the endpoints that the lines of a request
// name, from lookBack before its first line to its last line, and the last change of
// their limits at each process before that.
func relatedChanges(own, changes []Line) []Line {
	var found []Line
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	first, last := slices.MinFunc(own, byTime).Time.Add(-lookBack), slices.MaxFunc(own, byTime).Time
	limits := make(map[[2]string]Line)
	for _, line := range changes {
		used := slices.ContainsFunc(own, func(l Line) bool {
			return l.Value(keyEndpoint) != "" && l.Value(keyEndpoint) == line.Value(keyEndpoint)
		})
		if !used || line.Time.After(last) {
			continue
		}
		line.Related = true
		if !line.Time.Before(first) {
			found = append(found, line)
			continue
		}
		key := [2]string{line.Process, line.Value(keyEndpoint)}
		if known, exists := limits[key]; isLimit(&line) && (!exists || known.Time.Before(line.Time)) {
			limits[key] = line
		}
	}
	for _, line := range limits {
		found = append(found, line)
	}
	return found
}

// Parse parses one line of key=value pairs. It returns false if the line is
// malformed or has no time or message.
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
		if err == nil { // Parse rejects a line without a valid time
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
