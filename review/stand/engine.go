package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineHost is the loopback address of engines.
const engineHost = "127.0.0.10"

// eventInterval is the time between two events of a stream.
const eventInterval = 60 * time.Millisecond

// runEngine is an engine: one process that answers each request with a stream of events. The
// body of the request is the number of events. The answer has no length and ends with its
// connection.
func runEngine(arguments []string) int {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	id := flags.String("id", "", "id of the engine")
	address := flags.String("address", "", "address to listen on")
	coldRate := flags.Int("cold", 0, "a plain engine that exits above this number of requests in a second while it is cold")
	_ = flags.Parse(arguments) // ExitOnError
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	handler := &engineHandler{id: *id, born: time.Now().UnixMilli()}
	if *coldRate > 0 {
		handler.cold = &coldEngine{limit: *coldRate}
		go handler.cold.listen(os.Stdin)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	fmt.Println("listening") // tells the parent that it may list the engine
	_ = server.Serve(listener)
	return exitHeld
}

type engineHandler struct {
	id   string
	born int64
	// cold is nil for an engine of streams.
	cold *coldEngine
}

// ServeHTTP implements http.Handler.
func (h *engineHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(protocol.Instance, h.id)
	w.Header().Set(protocol.Request, r.Header.Get(protocol.Request))
	if expected := r.Header.Get(protocol.Expected); expected != "" && expected != h.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case protocol.Report:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "seq": 1, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 300000, "born": h.born,
		}) // fails only if the caller has disconnected
	default:
		if h.cold != nil {
			h.cold.serve(w, r)
			return
		}
		h.stream(w, r)
	}
}

// stream sends the events and closes the connection in order.
func (h *engineHandler) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.Request)
	body := new(strings.Builder)
	if _, err := bufio.NewReader(r.Body).WriteTo(body); err != nil {
		return
	}
	count, err := strconv.Atoi(body.String())
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	connection, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	fmt.Printf("runs request %s\n", id)
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", protocol.Request, id, protocol.Seal, h.id+"."+id)
	for number := 1; number <= count; number++ {
		time.Sleep(eventInterval)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s piece %d\n\n", number, id, number)
		if out.Flush() != nil {
			fmt.Printf("request %s: its connection failed at event %d of %d\n", id, number, count)
			return
		}
		if number%eventsPerLine == 0 || number == count {
			fmt.Printf("request %s: %d of %d events sent\n", id, number, count)
		}
	}
}

// eventsPerLine is the number of events after which an engine reports its progress.
const eventsPerLine = 10

// engine is a started engine process.
type engine struct {
	id      string
	address string
	born    int64
	command *exec.Cmd

	mu     sync.Mutex
	state  string
	seq    int
	coldMs int64
	listed chan struct{} // closed to end the heartbeats
	input  io.Writer
	output *bufio.Reader
	// ended is closed at the end of the output, and arrivals holds the requests that the engine got
	// while it was cold.
	ended    chan struct{}
	arrivals []arrival
}

// startEngine starts an engine process and lists it in the store.
func (w *world) startEngine(id, address string, options ...string) (*engine, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, address: address, state: "ready", listed: make(chan struct{}), ended: make(chan struct{})}
	e.command = exec.Command(own, append([]string{"engine", "-id", id, "-address", address}, options...)...)
	out, err := e.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if e.input, err = e.command.StdinPipe(); err != nil {
		return nil, err
	}
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	e.born = time.Now().UnixMilli()
	w.processes = append(w.processes, e)
	e.output = bufio.NewReader(out)
	if _, err := e.output.ReadString('\n'); err != nil {
		return nil, fmt.Errorf("engine %s: %w", id, err)
	}
	w.record.printf("engine %s started at %s", id, address)
	go w.readOutput(e)
	go w.heartbeats(e)
	return e, nil
}

// readOutput records what an engine reports, until it ends.
func (w *world) readOutput(e *engine) {
	defer close(e.ended)
	for {
		line, err := e.output.ReadString('\n')
		if err != nil {
			return
		}
		w.record.printf("engine %s: %s", e.id, strings.TrimSpace(line))
		var a arrival
		if _, err := fmt.Sscanf(line, "cold, runs request %s at %d", &a.id, &a.at); err == nil {
			e.arrivals = append(e.arrivals, a)
		}
	}
}

// heartbeats writes the engine's entry until the engine is no longer listed.
func (w *world) heartbeats(e *engine) {
	for {
		w.write(e)
		select {
		case <-time.After(heartbeat):
		case <-e.listed:
			return
		}
	}
}

// write writes the engine's entry once.
func (w *world) write(e *engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	w.store.Put("servers", e.id, map[string]any{
		"service": service, "address": e.address, "zone": zone, "version": "v1", "slots": 64,
		"state": e.state, protocol.ColdLeft: e.coldMs, "seq": e.seq, "born": e.born,
	})
}

// drain reports that the engine leaves.
func (w *world) drain(e *engine) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	w.write(e)
	w.record.printf("the store has accepted that engine %s is draining", e.id)
}

// remove ends the heartbeats and removes the entry.
func (w *world) remove(e *engine) {
	close(e.listed)
	w.store.Delete("servers", e.id)
}

// kill ends the process.
func (e *engine) kill() {
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
}
