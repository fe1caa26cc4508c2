package soak_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

// Guards against breaches that only the soak's links cause: a connection never delivers what follows lost bytes.
func TestNothingArrivesAfterLostBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	proxy, err := soak.NewProxy(listener.Addr().String())
	assert.NilError(t, err)
	defer proxy.Close()
	client, err := net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	lines := bufio.NewReader(client)
	write := func(text string) {
		_, err := server.Write([]byte(text))
		assert.NilError(t, err)
	}
	write("first\n")
	line, err := lines.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "first\n")
	proxy.SetFault(soak.LinkFault{DropDownstream: true})
	write("lost\n")
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, err = lines.ReadString('\n')
	assert.Assert(t, err != nil)
	proxy.SetFault(soak.LinkFault{})
	write("last\n")
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	line, err = lines.ReadString('\n')
	assert.Assert(t, err != nil, "%q arrived", line)
}
