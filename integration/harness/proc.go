// Package harness starts real processes of the product and of the stand-ins
// on loopback, each link between them through a fault-injecting proxy.
package harness

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

// startTimeout bounds the time until a process says that it is ready.
const startTimeout = 30 * time.Second

// stopTimeout bounds a graceful stop.
const stopTimeout = 30 * time.Second

// Ready is the line a process prints once it serves.
type Ready struct {
	Ready  bool   `json:"ready"`
	Caller string `json:"caller,omitempty"`
	Link   string `json:"link,omitempty"`
	Admin  string `json:"admin,omitempty"`
	// Address is the listener of a stand-in.
	Address string `json:"address,omitempty"`
}

// Proc is one process. Its methods are called by one test.
type Proc struct {
	Name  string
	Ready Ready

	cmd  *exec.Cmd
	done chan struct{}
	log  *logBuffer
	err  error
}

// Start runs the program and waits until it is ready.
func Start(t testing.TB, name string, env []string, program string, args ...string) *Proc {
	t.Helper()
	p := &Proc{Name: name, done: make(chan struct{}), log: &logBuffer{}}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ready := make(chan Ready, 1)
	var read sync.WaitGroup
	read.Go(func() { scanReady(bufio.NewScanner(out), ready) })
	go func() {
		read.Wait()
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() { p.cleanUp(t) })
	select {
	case p.Ready = <-ready:
	case <-p.done:
		t.Fatalf("%s ended before it was ready: %v\n%s", name, p.err, p.log)
	case <-time.After(startTimeout):
		t.Fatalf("%s was not ready in %v\n%s", name, startTimeout, p.log)
	}
	return p
}

func scanReady(s *bufio.Scanner, ready chan<- Ready) {
	for s.Scan() {
		var r Ready
		if json.Unmarshal(s.Bytes(), &r) == nil && r.Ready {
			select {
			case ready <- r:
			default:
			}
		}
	}
}

func (p *Proc) cleanUp(t testing.TB) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	if t.Failed() {
		t.Logf("log of %s:\n%s", p.Name, p.log)
	}
}

func (p *Proc) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // a process that has just ended needs none
	}
}

// Kill ends the process at once and waits for its end.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause freezes the process.
func (p *Proc) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks for a graceful stop without waiting.
func (p *Proc) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits for the end and returns the exit code, or -1 after a signal or
// when the process did not end in time.
func (p *Proc) Wait() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopTimeout):
		return -1
	}
}

// Crashed reports whether the process ended by itself and not well.
func (p *Proc) Crashed() bool {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode() > 0
	default:
		return false
	}
}

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID is the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Log returns what the process wrote on standard error.
func (p *Proc) Log() string { return p.log.String() }

// logBuffer keeps the last part of a log.
type logBuffer struct {
	mu   sync.Mutex
	data []byte
}

// maxLogBytes bounds the kept log of one process.
const maxLogBytes = 32 << 10

// Write appends and drops the oldest bytes.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, data...)
	if over := len(b.data) - maxLogBytes; over > 0 {
		b.data = b.data[over:]
	}
	return len(data), nil
}

// String returns the kept log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.data)
}
