package soak

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sessions that use no link of the host that has opened them, because its socket is not found.
func TestSocketOfAConnectionIsFound(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	raw, err := client.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var status syscall.Stat_t
	assert.NilError(t, raw.Control(func(fd uintptr) { assert.Check(t, syscall.Fstat(int(fd), &status)) }))
	local, remote := client.LocalAddr().(*net.TCPAddr).Port, listener.Addr().(*net.TCPAddr).Port
	socket, err := socketOf(local, remote)
	assert.NilError(t, err)
	assert.Equal(t, socket, fmt.Sprintf("socket:[%d]", status.Ino))
	_, err = socketOf(1, remote)
	var missing *SocketError
	assert.Assert(t, errors.As(err, &missing), "%v", err)
}
