package pool_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/pool"
)

func TestRunEchoesItsInput(t *testing.T) {
	p := pool.New("encode")
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	response, err := http.Post(server.URL+"/v1/run", "application/json", strings.NewReader(`{"input":{"echo":"x"}}`))
	assert.NilError(t, err)
	defer func() { assert.Check(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "{\"output\":{\"kind\":\"encode\",\"echo\":\"x\"}}\n")
	assert.Assert(t, p.Slots.TakeUsage()[0].Finished)
}
