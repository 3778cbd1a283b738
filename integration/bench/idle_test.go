package bench

import (
	"bytes"
	"runtime"
	"strings"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// idleStreams is how many streams the counted run holds open.
const idleStreams = 400

// TestMemoryOfAnIdleStream counts what is live in entry and agent for each
// stream that waits for its next token: heap after a collection, and stacks.
// The caller's end is a bare connection in the same process.
func TestMemoryOfAnIdleStream(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector holds memory of its own; .ci/run runs this test without it")
	}
	c := compose(t, engine.Behaviour{TokenMs: float64(time.Hour.Milliseconds())}, idleVersions, false)
	open := func(n int) {
		for i := range n {
			openIdle(t, c.entry.Addresses().Caller, versions(idleVersions)[i%idleVersions])
		}
	}
	open(idleVersions)
	before := liveMemory()
	open(idleStreams)
	after := liveMemory()
	heap := (after.heap - before.heap) / idleStreams
	stacks := (after.stacks - before.stacks) / idleStreams
	goroutines := float64(after.goroutines-before.goroutines) / idleStreams
	t.Logf("an idle stream: %d B of heap and %d B of stacks in %.1f goroutines", heap, stacks, goroutines)
	if live := heap + stacks; live > maxLiveIdleBytes {
		t.Errorf("%d live bytes for an idle stream, want at most %d", live, maxLiveIdleBytes)
	}
}

// live is what a process holds after a collection.
type live struct {
	heap, stacks int64
	goroutines   int
}

func liveMemory() live {
	runtime.GC()
	runtime.GC() // the second one empties the pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return live{heap: int64(m.HeapAlloc), stacks: int64(m.StackInuse), goroutines: runtime.NumGoroutine()}
}

// promptStreams is how many streams with long prompts the counted run holds
// open.
const promptStreams = 80

// TestPromptOfAnIdleStream counts how many copies of its prompt a stream holds
// in entry and agent once its answer has begun.
func TestPromptOfAnIdleStream(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector holds memory of its own; .ci/run runs this test without it")
	}
	rate := runtime.MemProfileRate
	runtime.MemProfileRate = 1
	defer func() { runtime.MemProfileRate = rate }()
	c := compose(t, engine.Behaviour{TokenMs: float64(time.Hour.Milliseconds())}, idleVersions, false)
	open := func(prompt string) {
		for i := range promptStreams {
			body := chatBodyOf(prompt, versions(idleVersions)[i%idleVersions], true, tokens)
			openIdleOf(t, newRawCallerOf(t, c.entry.Addresses().Caller, body))
		}
	}
	open(prompt)
	before := liveObjects(longPromptBytes)
	open(strings.Repeat("word ", longPromptBytes/len("word ")+1))
	held := liveObjects(longPromptBytes) - before
	t.Logf("%d idle streams hold %d copies of their prompts", promptStreams, held)
	// Each processor may keep a buffer in a pool, however many streams there are.
	if most := int64(maxPromptCopies*promptStreams + runtime.GOMAXPROCS(0)); held > most {
		t.Errorf("%d streams hold %d copies of their prompts, want at most %d", promptStreams, held, most)
	}
}

// liveObjects counts the objects of at least size bytes that are in use. The
// growth of the heap would count what differs between two runs beside the
// prompts, such as buffers and timers.
func liveObjects(size int64) (n int64) {
	for range 4 { // two empty the pools, two more bring the profile up to date
		runtime.GC()
	}
	var records []runtime.MemProfileRecord
	count, ok := runtime.MemProfile(nil, false)
	for !ok {
		records = make([]runtime.MemProfileRecord, 2*count)
		count, ok = runtime.MemProfile(records, false)
	}
	for _, r := range records[:count] {
		if objects := r.InUseObjects(); objects > 0 && r.InUseBytes()/objects >= size {
			n += objects
		}
	}
	return n
}

// openIdle opens a stream and reads its first event.
func openIdle(t testing.TB, address, model string) {
	t.Helper()
	openIdleOf(t, newRawCaller(t, address, model, true, tokens))
}

func openIdleOf(t testing.TB, c *rawCaller) {
	t.Helper()
	if _, err := c.conn.Write(c.request); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 0, 1024)
	part := make([]byte, 512)
	for !bytes.Contains(buf, eventPrefix) {
		n, err := c.conn.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		buf = append(buf, part[:n]...)
	}
	c.in = nil
}
