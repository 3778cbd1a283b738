package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"testing"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/daemon"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// composition is an entry and an agent in the process of the test, so that
// their allocations can be counted. Engine and platform
// are other processes, and the caller allocates nothing.
type composition struct {
	entry *daemon.Daemon
	link  *relay
}

// compose starts the two daemons. With counted set, a relay stands on the link.
func compose(t testing.TB, b engine.Behaviour, n int, counted bool) *composition {
	t.Helper()
	s := newStore(t)
	eng := harness.StartEngine(t, engine.Options{Name: "engine", Versions: versions(n), Behaviour: b})
	c := &composition{}
	agent := inProcess(t, s, "agent", host, daemon.NewAgent)
	link := agent.Addresses().Link
	if counted {
		c.link = newRelay(t, link)
		link = c.link.listener.Addr().String()
	}
	s.publish(t, configuration(t, n, map[string]*catalog.Upstream{
		"engine-0": upstreamAt(host, link, eng.Ready.Address, n),
	}))
	c.entry = inProcess(t, s, "entry", "entry-0", daemon.NewEntry)
	ready(t, agent)
	ready(t, c.entry)
	return c
}

func inProcess(t testing.TB, s *store, role, name string, compose func(daemon.Options) (*daemon.Daemon, error)) *daemon.Daemon {
	t.Helper()
	loaded, err := settings.Load(s.settingsFile(t, role, name))
	if err != nil {
		t.Fatal(err)
	}
	d, err := compose(daemon.Options{Settings: loaded, LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	})
	return d
}

func ready(t testing.TB, d *daemon.Daemon) {
	t.Helper()
	eventually(t, "the daemon is ready", func() error { return d.Ready() })
}

// rawCaller sends one request again and again over one connection. It
// allocates nothing of its own for a unary answer.
type rawCaller struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
	// payload is the size of all answers so far: whole bodies and events.
	payload int
}

func newRawCaller(t testing.TB, address, model string, stream bool, tokens int) *rawCaller {
	t.Helper()
	return newRawCallerOf(t, address, chatBody(model, stream, tokens))
}

// newRawCallerOf sends the given body.
func newRawCallerOf(t testing.TB, address string, body []byte) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nX-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n", key, len(body))
	return &rawCaller{conn: conn, in: bufio.NewReader(conn), request: append([]byte(head), body...)}
}

var (
	statusOK      = []byte("HTTP/1.1 200 ")
	lengthHeader  = []byte("Content-Length: ")
	lastChunk     = []byte("0\r\n")
	eventPrefix   = []byte("data: ")
	chunkedHeader = []byte("Transfer-Encoding: chunked")
)

// ask sends the request and reads the whole answer.
func (c *rawCaller) ask() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	status, err := c.in.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(status, statusOK) {
		return c.refused(string(status))
	}
	length, chunked, err := c.headers()
	if err != nil {
		return err
	}
	if chunked {
		return c.chunks()
	}
	c.payload += length
	_, err = c.in.Discard(length)
	return err
}

// refused tells the status and the body of an answer other than 200.
func (c *rawCaller) refused(status string) error {
	length, _, err := c.headers()
	if err != nil {
		return err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return err
	}
	return fmt.Errorf("answered %q: %s", status, body)
}

func (c *rawCaller) headers() (length int, chunked bool, err error) {
	for {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			return 0, false, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return length, chunked, nil
		}
		if rest, ok := bytes.CutPrefix(line, lengthHeader); ok {
			if length, err = strconv.Atoi(string(rest)); err != nil {
				return 0, false, err
			}
		}
		chunked = chunked || bytes.Equal(line, chunkedHeader)
	}
}

// chunks reads to the end of a chunked answer. An event holds no line that
// looks like the last chunk.
func (c *rawCaller) chunks() error {
	for {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if bytes.Equal(line, lastChunk) {
			_, err := c.in.ReadSlice('\n')
			return err
		}
		if event, ok := bytes.CutPrefix(line, eventPrefix); ok {
			c.payload += len(bytes.TrimSpace(event))
		}
	}
}

// asks sends so many requests one after another.
func (c *rawCaller) asks(t testing.TB, n int) {
	t.Helper()
	for range n {
		if err := c.ask(); err != nil {
			t.Fatal(err)
		}
	}
}

// allocated counts what the process allocates while f runs.
func allocated(f func()) (objects, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), float64(after.TotalAlloc - before.TotalAlloc)
}
