package netw_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/netw"
)

// Guards against a simulated link that gives each connection the whole bandwidth.
func TestConnectionsShareTheLink(t *testing.T) {
	const size, connections = 20_000, 4
	link := netw.NewLink(400_000)
	began := time.Now()
	done := make(chan error, connections)
	for range connections {
		sender, receiver := net.Pipe()
		go func() {
			_, err := sender.Write(make([]byte, size))
			done <- err
		}()
		go func() {
			attached := link.Attach(receiver)
			for buffer := make([]byte, size); ; {
				if _, err := attached.Read(buffer); err != nil {
					return
				}
			}
		}()
	}
	for range connections {
		assert.NilError(t, <-done)
	}
	assert.Assert(t, time.Since(began) >= 100*time.Millisecond, "%v", time.Since(began))
}
