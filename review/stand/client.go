package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// outcome is what a client sees of one request.
type outcome struct {
	request string
	status  int
	seal    string
	events  int
	asked   int
	// whole is set if the answer ended as the protocol ends a complete one.
	whole bool
	err   error
}

// endsEarly reports whether the client got a sealed success that looks complete before its last
// event.
func (o *outcome) endsEarly() bool {
	return o.status == http.StatusOK && o.seal != "" && o.whole && o.events < o.asked
}

// ask sends one request for a stream of events on a connection of its own and reads the answer to
// its end.
func (w *world) ask(id string, events int) *outcome {
	o := &outcome{request: id, asked: events}
	request, err := http.NewRequest(http.MethodPost, "http://"+w.gateways[0].callers+path+"log", strings.NewReader(strconv.Itoa(events)))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = host
	request.Header.Set(protocol.Request, id)
	request.Header.Set(protocol.Key, apiKey)
	request.Header.Set(protocol.Deadline, "20000")
	request.Header.Set(protocol.Model, "m")
	request.Header.Set(protocol.Usage, "120,280")
	request.Header.Set(protocol.Prompt, fmt.Sprintf("5c1e07a2:40,%s:80", id[:8]))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status, o.seal = response.StatusCode, response.Header.Get(protocol.Seal)
	o.read(response.Body)
	return o
}

// read counts the events. A body that ends early fails with an error of the chunks or the length.
func (o *outcome) read(body io.Reader) {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			o.events++
		}
		if errors.Is(err, io.EOF) {
			o.whole = true
			return
		}
		if err != nil {
			o.err = err
			return
		}
	}
}

// log records the outcome.
func (o *outcome) log(r *record) {
	r.printf("request %s: status %d, seal %q, %d of %d events, looks complete %t, error %v", o.request, o.status, o.seal, o.events, o.asked, o.whole, o.err)
}
