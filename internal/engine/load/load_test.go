package load_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/load"
)

func TestRead(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		check  func(t *testing.T, r load.Reading)
	}{
		{"report with its age", 200, `{"startId":7,"running":3,"queued":1,"limit":8,"cold":true,"asOfMs":400}`, func(t *testing.T, r load.Reading) {
			assert.Equal(t, r.Report.StartID, "7")
			assert.Equal(t, r.Report.Outstanding(), 4)
			assert.Equal(t, r.Report.AsOf, clock.Millis(600))
			assert.Assert(t, r.Report.Cold)
		}},
		{"negative numbers", 200, `{"running":-3,"limit":-1,"asOfMs":-9}`, func(t *testing.T, r load.Reading) {
			assert.Equal(t, r.Report.Outstanding(), 0)
			assert.Equal(t, r.Report.AsOf, clock.Millis(1000))
		}},
		{"reports not supported", 404, ``, func(t *testing.T, r load.Reading) { assert.Assert(t, r.Unsupported) }},
		{"failure", 500, ``, func(t *testing.T, r load.Reading) { assert.ErrorType(t, r.Err, &load.StatusError{}) }},
		{"no JSON", 200, `<html>`, func(t *testing.T, r load.Reading) { assert.Assert(t, r.Err != nil) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			}))
			defer server.Close()
			p := load.New(server.URL, func(load.Reading) {}, load.WithClock(clock.NewFake(1000).Clock()))
			tc.check(t, p.Read(t.Context()))
		})
	}
}

func TestPollNowReadsAtOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	defer server.Close()
	readings := make(chan load.Reading)
	p := load.New(server.URL, func(r load.Reading) { readings <- r }, load.WithClock(clock.NewFake(0).Clock()))
	ctx, cancel := context.WithCancel(t.Context())
	p.Start(ctx)
	<-readings
	p.PollNow()
	<-readings
	cancel()
	<-p.Done()
}
