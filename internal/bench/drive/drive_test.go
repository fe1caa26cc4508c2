package drive

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/plan"
)

func experiment(t *testing.T) *plan.Experiment {
	t.Helper()
	e, err := plan.Read("../../../samples/experiments/papierveda.json")
	assert.NilError(t, err)
	return e
}

func TestLoadIsTheSameForTheSameSeed(t *testing.T) {
	e := experiment(t)
	first, second := drawArrivals(e), drawArrivals(e)
	assert.Equal(t, len(first), len(second))
	for i := range first {
		assert.Equal(t, first[i], second[i])
	}
	offered := e.Rate() * 10
	assert.Assert(t, float64(len(first)) > 0.9*offered && float64(len(first)) < 1.1*offered)
}

func TestOutcomesOfAnswers(t *testing.T) {
	const sse = "text/event-stream"
	cases := []struct {
		name, contentType, body string
		want                    Outcome
	}{
		{"complete answer", "", `{"output":"echo=m w1 end=2"}`, InTime},
		{"answer to another request", "", `{"output":"echo=x w1 end=2"}`, Wrong},
		{"tokens missing", "", `{"output":"echo=m end=2"}`, Wrong},
		{"refusal", "", `{"reason":"overloaded","ran":"notRun"}`, Refused},
		{"refusal with unknown outcome", "", `{"reason":"outcomeUnknown","ran":"mayHaveRun"}`, Cut},
		{"complete stream", sse, "event: token\ndata: {}\n\nevent: end\ndata: {\"output\":\"echo=m w1 end=2\"}\n\n", InTime},
		{"truncated stream", sse, "event: token\ndata: {}\n\n", Cut},
	}
	e := experiment(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.contentType)
				_, err := w.Write([]byte(c.body))
				assert.Check(t, err)
			}))
			defer server.Close()
			d := New(func() []string { return []string{server.URL} })
			a := arrival{kind: &e.Mix[0], from: &e.Organisations[0], mark: "m"}
			record := d.send(context.Background(), e, &a, time.Now(), 0)
			assert.Equal(t, record.Outcome, c.want, record.Detail)
		})
	}
}

// Guards against a failed request if the chosen entry is down. The connection fails, so
// nothing ran and the request can go to the next entry.
func TestUnreachableEntryIsSkipped(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"output":"echo=m w1 end=2"}`))
		assert.Check(t, err)
	}))
	defer server.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	e := experiment(t)
	d := New(func() []string { return []string{closed.URL, server.URL} })
	a := arrival{kind: &e.Mix[0], from: &e.Organisations[0], mark: "m"}
	assert.Equal(t, d.send(context.Background(), e, &a, time.Now(), 0).Outcome, InTime)
}
