package harness

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tarragonbay.example/tarragonbay/internal/history"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/ports/wire"
)

// SetFaults switches the faults of the platform's services.
func (c *Cluster) SetFaults(f fake.Faults) {
	c.T.Helper()
	c.Faults.Add(1)
	postJSON(c.T, "http://"+c.Platform.Ready.Address+wire.PathAdminFaults, f)
}

// SetHost puts a line on the platform's host list.
func (c *Cluster) SetHost(h ports.HostState) {
	c.T.Helper()
	postJSON(c.T, "http://"+c.Platform.Ready.Address+wire.PathAdminHosts, h)
}

// Kill ends a daemon at once and records the fault.
func (c *Cluster) Kill(n *Node) {
	c.fault("kill " + n.name)
	n.Proc.Kill()
}

// Pause freezes a daemon and records the fault.
func (c *Cluster) Pause(n *Node) {
	c.fault("pause " + n.name)
	n.Proc.Pause()
}

func (c *Cluster) fault(note string) {
	c.Faults.Add(1)
	c.History.Record(history.Event{Kind: history.Fault, Note: note})
}

// Stop asks a daemon for a graceful stop, records it, and returns the exit
// code.
func (c *Cluster) Stop(n *Node) int {
	c.History.Record(history.Event{Kind: history.Stopping, Source: n.name})
	n.Proc.Terminate()
	code := n.Proc.Wait()
	c.History.Record(history.Event{Kind: history.Stopped, Source: n.name, Code: code})
	return code
}

// Load is callers that ask one request after another in the background.
type Load struct {
	stop    chan struct{}
	workers sync.WaitGroup
	done    atomic.Int64
	whole   atomic.Int64

	mu      sync.Mutex
	replies []Reply
}

// refusedPause is the pause of a caller whose request was not answered, so that
// callers of a daemon that is gone do not spin.
const refusedPause = 10 * time.Millisecond

// StartLoad lets callers ask in turn at the entries until Stop. make returns
// the request of a worker's round.
func (c *Cluster) StartLoad(workers int, entries []*Node, make func(worker, round int) Ask) *Load {
	l := &Load{stop: newStop()}
	for w := range workers {
		l.workers.Go(func() {
			caller := c.Caller()
			for round := 0; !l.stopped(); round++ {
				r := caller.DoContext(context.Background(), entries[(w+round)%len(entries)], make(w, round))
				l.mu.Lock()
				l.replies = append(l.replies, r)
				l.mu.Unlock()
				l.done.Add(1)
				if r.Whole {
					l.whole.Add(1)
				} else {
					time.Sleep(refusedPause)
				}
			}
		})
	}
	return l
}

func newStop() chan struct{} { return make(chan struct{}) }

func (l *Load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// Answered returns how many requests have ended so far.
func (l *Load) Answered() int64 { return l.done.Load() }

// WaitFor waits until n more requests have ended.
func (l *Load) WaitFor(c *Cluster, n int64) {
	c.T.Helper()
	goal := l.Answered() + n
	c.Eventually("the load goes on", func() bool { return l.Answered() >= goal })
}

// WaitWhole waits until n more requests have got their whole answer.
func (l *Load) WaitWhole(c *Cluster, n int64) {
	c.T.Helper()
	goal := l.whole.Load() + n
	c.Eventually("the load is answered", func() bool { return l.whole.Load() >= goal })
}

// Stop ends the load and returns every reply.
func (l *Load) Stop() []Reply {
	close(l.stop)
	l.workers.Wait()
	return l.replies
}
