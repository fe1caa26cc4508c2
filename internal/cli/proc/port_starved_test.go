package proc_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/proc"
)

const childVariable = "JUJUBESCALE_TEST_PORT"

// TestStarvedChild runs in the child process of TestRequestsOfAStarvedProcessAreAnswered:
// it prints its address, shuts its port down when it reads a line, and ends.
func TestStarvedChild(t *testing.T) {
	if os.Getenv(childVariable) == "" {
		return // it is not a test on its own
	}
	port, err := proc.Open(t.Context(), proc.PortOptions{
		Name: "callers", Address: "127.0.0.1:0", MaxConnections: 512, MaxHeaderBytes: 4 << 10,
		Handler:       http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		HeaderTimeout: time.Minute, IdleTimeout: time.Minute, Log: log.New(io.Discard),
	})
	assert.NilError(t, err)
	fmt.Println("address", port.Address())
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	fmt.Println("stopping")
	fmt.Println("stopped", port.Shutdown(t.Context()))
}

type child struct {
	address string
	pid     int
	in      io.WriteCloser
	out     *bufio.Scanner
}

func startChild(t *testing.T) *child {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestStarvedChild$") //nolint:gosec // this test's own binary
	cmd.Env = append(os.Environ(), childVariable+"=1")
	in, err := cmd.StdinPipe()
	assert.NilError(t, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	c := &child{pid: cmd.Process.Pid, in: in, out: bufio.NewScanner(out)}
	t.Cleanup(func() { _ = syscall.Kill(c.pid, syscall.SIGCONT); _ = cmd.Process.Kill(); _ = cmd.Wait() })
	c.address = strings.TrimPrefix(c.line(t, "address "), "address ")
	return c
}

func (c *child) line(t *testing.T, prefix string) string {
	t.Helper()
	for c.out.Scan() {
		if strings.HasPrefix(c.out.Text(), prefix) {
			return c.out.Text()
		}
	}
	t.Fatalf("no line %q", prefix)
	return ""
}

func (c *child) dial(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", c.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{Conn: conn, replies: bufio.NewReader(conn)}
}

// callersOfEachKind is the number of new and of kept connections.
const callersOfEachKind = 40

func (c *child) callers(t *testing.T, kept bool) []*caller {
	t.Helper()
	var all []*caller
	for range callersOfEachKind {
		one := c.dial(t)
		if kept {
			one.write(t, head+tail)
			_, err := one.readResponse()
			assert.NilError(t, err)
		}
		all = append(all, one)
	}
	return all
}

// Guards against requests that get no answer because they arrive while the process gets
// no processor time (SIGSTOP), just before its port closes.
func TestRequestsOfAStarvedProcessAreAnswered(t *testing.T) {
	c := startChild(t)
	kept := c.callers(t, true)
	time.Sleep(300 * time.Millisecond) // longer than a stop waits for the first request of a new connection
	assert.NilError(t, syscall.Kill(c.pid, syscall.SIGSTOP))
	fresh := c.callers(t, false)
	for _, one := range append(kept, fresh...) {
		one.write(t, head+tail)
	}
	_, err := io.WriteString(c.in, "\n")
	assert.NilError(t, err)
	time.Sleep(250 * time.Millisecond)
	assert.NilError(t, syscall.Kill(c.pid, syscall.SIGCONT))
	assertAllAnswered(t, "kept", kept)
	assertAllAnswered(t, "new", fresh)
	c.line(t, "stopped <nil>")
}

func assertAllAnswered(t *testing.T, kind string, callers []*caller) {
	t.Helper()
	answered := 0
	var failed error
	for _, one := range callers {
		if _, err := one.readResponse(); err != nil {
			failed = err
			continue
		}
		answered++
	}
	assert.Equal(t, answered, len(callers), "%s connections: %v", kind, failed)
}
