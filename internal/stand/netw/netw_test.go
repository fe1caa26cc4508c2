package netw_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/netw"
)

// echoServer sends each line back and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, n *netw.Net, address string) net.Conn {
	t.Helper()
	conn, err := n.Dial("a")(context.Background(), "tcp", address)
	assert.NilError(t, err)
	return conn
}

func TestDataBetweenZonesIsOrderedAndDelayed(t *testing.T) {
	address := echoServer(t)
	n := netw.New(5 * time.Millisecond)
	n.SetZone(address, "b")
	conn := dial(t, n, address)
	begin := time.Now()
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := conn.Write([]byte(line))
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	for _, want := range []string{"one\n", "two\n", "three\n"} {
		got, err := reader.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	assert.Assert(t, time.Since(begin) >= 10*time.Millisecond)
	assert.NilError(t, conn.Close())
}

// A device between the two ends drops the state of a connection. Neither end
// sees a close, all data is lost, and a new connection works.
func TestSilencedConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	address := echoServer(t)
	n := netw.New(0)
	n.SetZone(address, "b")
	old := dial(t, n, address)
	n.SilenceZone("b")
	_, err := old.Write([]byte("lost\n"))
	assert.NilError(t, err)
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = old.Read(make([]byte, 8))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
	fresh := dial(t, n, address)
	_, err = fresh.Write([]byte("x\n"))
	assert.NilError(t, err)
	got, err := bufio.NewReader(fresh).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, "x\n")
	assert.NilError(t, old.Close())
	assert.NilError(t, fresh.Close())
}

func TestDialToCutZoneTimesOut(t *testing.T) {
	address := echoServer(t)
	n := netw.New(0)
	n.SetZone(address, "b")
	n.CutZone("b")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := n.Dial("a")(ctx, "tcp", address)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	n.HealZone("b")
	assert.NilError(t, dial(t, n, address).Close())
}
