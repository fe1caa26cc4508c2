package plat_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

type reply struct {
	status  int
	version string
	body    string
}

func call(t *testing.T, method, url, match, body string) reply {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("If-Match", match)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { assert.Check(t, response.Body.Close()) }()
	read, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return reply{status: response.StatusCode, version: response.Header.Get("X-Version"), body: string(read)}
}

func TestConditionalUpdates(t *testing.T) {
	p := plat.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	url := server.URL + "/v1/objects/a/b"
	assert.DeepEqual(t, call(t, "GET", url, "", ""), reply{404, "0", ""}, sameReply)
	assert.DeepEqual(t, call(t, "PUT", url, "0", "x"), reply{200, "1", ""}, sameReply)
	assert.DeepEqual(t, call(t, "PUT", url, "0", "y"), reply{412, "1", "x"}, sameReply)
	assert.DeepEqual(t, call(t, "GET", url, "", ""), reply{200, "1", "x"}, sameReply)
	assert.DeepEqual(t, call(t, "DELETE", url, "1", ""), reply{200, "0", ""}, sameReply)
	assert.DeepEqual(t, call(t, "PUT", url, "0", "z"), reply{200, "3", ""}, sameReply)
	assert.Equal(t, call(t, "GET", server.URL+"/v1/objects?prefix=a/", "", "").body,
		"[{\"name\":\"a/b\",\"version\":3}]\n")
	assert.Equal(t, p.Calls().Writes, 4)
}

func TestWatchWaitsForAChange(t *testing.T) {
	p := plat.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	_, done := p.Put("a", store.At(0), []byte("x"))
	assert.Assert(t, done)
	got := make(chan reply, 1)
	go func() { got <- call(t, "GET", server.URL+"/v1/objects/a?watch=1&waitMs=60000", "", "") }()
	_, done = p.Put("a", store.At(1), []byte("y"))
	assert.Assert(t, done)
	assert.DeepEqual(t, <-got, reply{200, "2", "y"}, sameReply)
}

func TestHostsArePaged(t *testing.T) {
	p := plat.New()
	p.SetHosts([]store.Host{{Name: "c", Role: "agent"}, {Name: "a", Role: "agent"}, {Name: "b", Role: "entry"}})
	page := p.Hosts(store.HostQuery{Role: "agent", Limit: 1})
	assert.Equal(t, page.Hosts[0].Name, "a")
	assert.Equal(t, page.Next, "a")
	page = p.Hosts(store.HostQuery{Role: "agent", Limit: 1, After: page.Next})
	assert.Equal(t, page.Hosts[0].Name, "c")
	assert.Equal(t, page.Next, "")
}

var sameReply = cmp.AllowUnexported(reply{})
