package integration

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
)

// askOnNewConnection connects and sends a request a moment later.
func askOnNewConnection(address string) (opened bool, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	time.Sleep(15 * time.Millisecond)
	if _, err := io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		return true, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return true, err
}

// TestStopOfAnEntryWithoutProcessor: an entry that stops is frozen for 60 of each 100 ms
// while callers connect. Each whose connection was opened gets an answer.
func TestStopOfAnEntryWithoutProcessor(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 1})
	e := c.Entries[0]
	address := strings.TrimPrefix(e.URL(), "http://")
	e.Proc.Terminate()
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for !e.Proc.Ended() {
			e.Proc.Pause()
			time.Sleep(60 * time.Millisecond)
			e.Proc.Resume()
			time.Sleep(40 * time.Millisecond)
		}
	}()
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered, cut := 0, []string(nil)
	for ended := false; !ended; {
		callers.Go(func() {
			opened, err := askOnNewConnection(address)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case opened && err != nil:
				cut = append(cut, err.Error())
			case opened:
				answered++
			}
		})
		select {
		case <-gone:
			ended = true
		case <-time.After(4 * time.Millisecond):
		}
	}
	callers.Wait()
	if code := e.Proc.Wait(); code != 0 || len(cut) > 0 || answered == 0 {
		t.Errorf("exit code %d, %d answered, %d cut: %.300q", code, answered, len(cut), cut)
	}
}
