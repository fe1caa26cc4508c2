package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// coldGateways is the number of gateways. Deployments of the pages with one region have 3 to
	// 29, and some have hundreds.
	coldGateways = 16
	// coldRate is the rate that a cold engine of the service tolerates, for coldTime after it became
	// cold. coldBound is the bound of the rule in a second.
	coldRate     = 11
	coldTime     = 3 * time.Second
	coldOverage  = 1.5
	coldSlack    = 5
	coldBound    = coldRate*coldOverage + coldSlack
	coldCrash    = 25 // the engine crashes above this rate in a second, well above coldRate
	coldWorkTime = 150 * time.Millisecond
	// callInterval is the time between two requests to one gateway.
	callInterval = 400 * time.Millisecond
	warmTime     = 5 * time.Second
	watchTime    = 4 * time.Second
)

// coldConfig has one route of requests that may run once, to a service whose engines can be cold.
func coldConfig() *stand.Config {
	return &stand.Config{
		Version:  7,
		Services: []stand.Service{{Name: service, Kind: stand.Plain, MaxConns: 360, ColdS: coldTime.Seconds(), ColdPerS: coldRate}},
		Routes: []stand.Route{{
			Name: "notes", Host: host, Prefix: path, Kind: "unsafe", Service: service, TimeoutMs: 2500, SloMs: 500, Attempts: 1,
		}},
		Tenants: []stand.Tenant{{Name: "tenant-a", Keys: []string{apiKey}}},
	}
}

// coldEngine is the part of an engine that may be cold.
type coldEngine struct {
	limit int

	mu       sync.Mutex
	coldTill time.Time
	recent   []time.Time
}

// listen makes the engine cold at each line that the parent writes.
func (c *coldEngine) listen(from io.Reader) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		c.mu.Lock()
		c.coldTill = time.Now().Add(coldTime)
		c.mu.Unlock()
	}
}

// serve answers a request. While the engine is cold, it reports each arrival to the parent, and it
// crashes above its limit.
func (c *coldEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.Request)
	c.mu.Lock()
	if now := time.Now(); now.Before(c.coldTill) {
		c.recent = append(c.recent, now)
		for now.Sub(c.recent[0]) >= time.Second {
			c.recent = c.recent[1:]
		}
		fmt.Printf("cold, runs request %s at %d\n", id, now.UnixMilli())
		if len(c.recent) > c.limit {
			fmt.Println("crashes")
			os.Exit(exitBroken)
		}
	} else {
		fmt.Printf("runs request %s\n", id)
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(coldWorkTime)
	body := "done " + id
	w.Header().Set(protocol.Seal, "s."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// runCold lets an engine become cold while clients of all gateways call it. Its entry says so at
// its next heartbeat.
func runCold(w *world) int {
	addresses, err := freePorts(engineHost, 1)
	if err != nil {
		return w.notRun(err)
	}
	e, err := w.startEngine("i-7f3a91c2", addresses[0], "-cold", fmt.Sprint(coldCrash))
	if err != nil {
		return w.notRun(err)
	}
	if err := w.awaitReady(); err != nil {
		return w.notRun(err)
	}
	done := make(chan struct{})
	calls := &callCount{sentAt: make(map[string]int64), byResult: make(map[string]int)}
	for _, g := range w.gateways {
		calls.group.Go(func() { calls.repeat(w, g.callers, done) })
	}
	time.Sleep(warmTime)
	if w.trouble {
		_, _ = io.WriteString(e.input, "cold\n")
		w.record.printf("engine %s is cold; its entry will say so at its next heartbeat", e.id)
		e.mu.Lock()
		e.coldMs = coldTime.Milliseconds()
		e.mu.Unlock()
	}
	time.Sleep(watchTime)
	close(done)
	calls.group.Wait()
	e.kill()
	<-e.ended
	most := calls.mostInSecond(e.arrivals)
	calls.log(w.record)
	w.record.printf("most requests sent and arrived in one second at the cold engine: %d, bound %.1f", most, coldBound)
	switch {
	case float64(most) > coldBound:
		return exitBroken
	case calls.byResult["200"] == 0:
		return exitNotRun
	}
	return exitHeld
}

// arrival is a request that has reached the cold engine.
type arrival struct {
	at int64 // in Unix milliseconds
	id string
}

// callCount counts the requests of clients by their result.
type callCount struct {
	group    sync.WaitGroup
	mu       sync.Mutex
	sent     int
	sentAt   map[string]int64 // in Unix milliseconds, by the request's id
	byResult map[string]int
}

// mostInSecond returns the largest number of requests that were sent and have arrived within one
// second.
func (c *callCount) mostInSecond(all []arrival) int {
	most := 0
	for _, first := range all {
		begin, count := c.sentAt[first.id], 0
		for _, a := range all {
			if c.sentAt[a.id] >= begin && a.at < begin+time.Second.Milliseconds() {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// repeat sends requests to one gateway at a steady rate.
func (c *callCount) repeat(w *world, address string, done <-chan struct{}) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			c.group.Go(func() { c.call(w, address) })
		}
	}
}

func (c *callCount) call(w *world, address string) {
	c.mu.Lock()
	c.sent++
	id := fmt.Sprintf("9c41d070%08x", c.sent)
	c.sentAt[id] = time.Now().UnixMilli()
	c.mu.Unlock()
	result := callOnce(address, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byResult[result]++
	w.record.printf("request %s, sent to %s: %s", id, address, result)
}

// callOnce sends one request and returns the status of its answer or the error.
func callOnce(address, id string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path+"log", strings.NewReader("x"))
	if err != nil {
		return err.Error()
	}
	request.Host = host
	request.Header.Set(protocol.Request, id)
	request.Header.Set(protocol.Key, apiKey)
	request.Header.Set(protocol.Deadline, "2500")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprint(response.StatusCode)
}

func (c *callCount) log(r *record) {
	r.printf("%d requests sent: %v", c.sent, c.byResult)
}
