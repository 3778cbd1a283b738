package integration

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
)

// Limits of daemons that face a crowd.
const (
	// crowdMemoryBytes is the memory of a daemon's host.
	crowdMemoryBytes = 96_000_000
	// crowdFiles bounds the descriptors of a daemon; reservedFiles of them are for files.
	crowdFiles    = 1200
	reservedFiles = 200
	crowdBody     = 2 << 20
	// crowdTime is how long a crowd presses before the ordinary request is sent.
	crowdTime = 4 * time.Second
)

// crowdSpec is a cluster whose daemons have low limits.
var crowdSpec = harness.Spec{Entries: 1, Agents: 1, Descriptors: crowdFiles, Limits: map[string]any{
	"bodyBytes": crowdBody, "bodyMemory": 8 * crowdBody, "headerBytes": 16384, "heapFloor": 8 << 20,
	"memory": crowdMemoryBytes,
}}

const crowdStart = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + harness.Key + "\r\nContent-Type: application/json\r\n"

// crowdAct is what a number of clients send on each connection.
type crowdAct struct {
	name    string
	clients int
	act     func(c net.Conn) error
}

// crowdActs press on each listener.
var crowdActs = []crowdAct{
	{"bodies a byte short", 60, func(c net.Conn) error {
		return sendAll(c, crowdStart, fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody), strings.Repeat(" ", crowdBody-1))
	}},
	{"chunks", 60, func(c net.Conn) error {
		return sendAll(c, crowdStart, "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\n \r\n", crowdBody-1))
	}},
	{"heads never ended", 500, func(c net.Conn) error { return sendAll(c, crowdStart, oddLines(15_000)) }},
	{"heads without end", 120, func(c net.Conn) error { return sendAll(c, crowdStart, oddLines(8<<20)) }},
	{"silent", crowdFiles + 300, func(net.Conn) error { return nil }},
}

// oddLines are short lines of a head with names of their own.
func oddLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x: \r\n", i)
	}
	return b.String()
}

func sendAll(c net.Conn, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			return err
		}
	}
	return nil
}

// TestCrowdAtTheEntry: clients that do not behave never drive an entry over its host's
// limits, and ordinary callers still get answers.
func TestCrowdAtTheEntry(t *testing.T) {
	crowdAt(t, func(c *harness.Cluster) (*harness.Node, string) {
		return c.Entries[0], strings.TrimPrefix(c.Entries[0].URL(), "http://")
	})
}

// TestCrowdAtTheOperatorsListener: the same at the listener for operators.
func TestCrowdAtTheOperatorsListener(t *testing.T) {
	crowdAt(t, func(c *harness.Cluster) (*harness.Node, string) { return c.Entries[0], c.Entries[0].Proc.Ready.Admin })
}

// TestCrowdAtTheLink: the same at an agent's listener for other daemons.
func TestCrowdAtTheLink(t *testing.T) {
	crowdAt(t, func(c *harness.Cluster) (*harness.Node, string) { return c.Agents[0], c.Agents[0].Proc.Ready.Link })
}

// TestCrowdOfMessagesAtTheLink: messages for an agent that are longer than any that an entry
// sends, and stop a byte short.
func TestCrowdOfMessagesAtTheLink(t *testing.T) {
	const messageBytes = 8 << 20
	crowdActsAt(t, []crowdAct{{"reports", 60, func(c net.Conn) error {
		return sendAll(c, "POST /tarragonbay.link.v1.AgentService/Report HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\n"+
			"Connect-Protocol-Version: 1\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", messageBytes), strings.Repeat("x", messageBytes-1))
	}}, {"attempts", 60, func(c net.Conn) error {
		return sendAll(c, "POST /tarragonbay.link.v1.AgentService/Attempt HTTP/1.1\r\nHost: x\r\nContent-Type: application/connect+proto\r\n"+
			"Connect-Protocol-Version: 1\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n\x00\x00\x80\x00\x00", messageBytes), strings.Repeat("x", messageBytes-6))
	}}}, func(c *harness.Cluster) (*harness.Node, string) { return c.Agents[0], c.Agents[0].Proc.Ready.Link })
}

func crowdAt(t *testing.T, where func(*harness.Cluster) (*harness.Node, string)) {
	t.Helper()
	crowdActsAt(t, crowdActs, where)
}

func crowdActsAt(t *testing.T, acts []crowdAct, where func(*harness.Cluster) (*harness.Node, string)) {
	t.Helper()
	if harness.RaceEnabled {
		t.Skip("the race detector holds memory of its own; .ci/run runs this test without it")
	}
	for _, a := range acts {
		t.Run(a.name, func(t *testing.T) {
			c := harness.New(t, crowdSpec)
			node, address := where(c)
			stop, most := make(chan struct{}), make(chan [2]int64)
			go func() { most <- watch(node.Proc.PID(), stop) }()
			w := pressOn(address, a.clients, a.act)
			time.Sleep(crowdTime)
			ordinary(c, node)
			w.leave()
			ordinary(c, node)
			close(stop)
			used := <-most
			t.Logf("at most %d MB and %d sockets", used[0]/1e6, used[1])
			if used[0] > crowdMemoryBytes {
				t.Errorf("%s used %d MB of memory, its host has %d", node.Name(), used[0]/1e6, crowdMemoryBytes/1_000_000)
			}
			if used[1] > crowdFiles-reservedFiles {
				t.Errorf("%s had %d sockets open, want at most %d descriptors for them", node.Name(), used[1], crowdFiles-reservedFiles)
			}
			if node.Proc.Ended() {
				t.Errorf("%s ended", node.Name())
			}
		})
	}
}

// ordinary waits until an ordinary request is answered, and an operator's question.
func ordinary(c *harness.Cluster, node *harness.Node) {
	c.T.Helper()
	c.Eventually("the answer to an ordinary request", func() bool {
		return c.Caller().Do(c.Entries[0], harness.Ask{Timeout: 5 * time.Second}).Whole
	})
	c.Eventually("the answer to an operator", func() bool {
		_, err := c.Status(node)
		return err == nil
	})
}

// press is clients with one connection each, which they open again when it was closed.
type press struct {
	stop chan struct{}
	done sync.WaitGroup
}

func pressOn(address string, clients int, act func(net.Conn) error) *press {
	w := &press{stop: make(chan struct{})}
	for range clients {
		w.done.Go(func() {
			for !w.stopped() {
				w.connect(address, act)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return w
}

func (w *press) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

func (w *press) connect(address string, act func(net.Conn) error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-w.stop:
		case <-ended:
		}
		_ = c.Close() // it may be closed already
	}()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = act(c) // the reader sees the close
	}()
	_, _ = io.Copy(io.Discard, c) // until the close
	_ = c.Close()
	<-sent
}

func (w *press) leave() {
	close(w.stop)
	w.done.Wait()
}

// watch returns the most resident bytes and sockets of a process until stop.
func watch(pid int, stop chan struct{}) (most [2]int64) {
	proc := fmt.Sprintf("/proc/%d/", pid)
	for {
		if status, err := os.ReadFile(proc + "status"); err == nil {
			_, rest, _ := strings.Cut(string(status), "VmRSS:")
			var kb int64
			_, _ = fmt.Sscanf(rest, "%d", &kb) // zero once the process has ended
			most[0] = max(most[0], kb<<10)
		}
		sockets := int64(0)
		if files, err := os.ReadDir(proc + "fd"); err == nil {
			for _, f := range files {
				if to, err := os.Readlink(proc + "fd/" + f.Name()); err == nil && strings.HasPrefix(to, "socket:") {
					sockets++
				}
			}
		}
		most[1] = max(most[1], sockets)
		select {
		case <-stop:
			return most
		case <-time.After(10 * time.Millisecond):
		}
	}
}
