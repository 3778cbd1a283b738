package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
)

const (
	// maxNotifyDelay bounds the time until the first daemon notifies a host: the 3 s
	// until a leaving upstream gets no new work, less half a second for the
	// notification and the response that refuses work.
	maxNotifyDelay = 2500 * time.Millisecond
	// maxListBytesPerSecond bounds the reads of the host list at an agent: a
	// quarter of the 6 KB.
	maxListBytesPerSecond = 1536
)

// notifications records which hosts were notified of what and when, and the bytes
// of the list reads.
type notifications struct {
	mu    sync.Mutex
	first map[string]time.Time
	count map[string]int
	bytes map[string]int
}

func (o *notifications) record(host string, leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := fmt.Sprintf("%s %v", host, leaving)
	if o.count[key] == 0 {
		o.first[key] = time.Now()
	}
	o.count[key]++
}

// TestBoundsHostIsToldOfTheList marks hosts as leaving in the host list
// only, one after the other, at present sizes and at the target size. It guards
// against late notifications and against reads beyond the byte rate.
func TestBoundsHostIsToldOfTheList(t *testing.T) {
	for _, daemons := range []int{16, 26, 320} {
		t.Run(fmt.Sprintf("daemons=%d", daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkNotifications(t, daemons) })
		})
	}
}

func checkNotifications(t *testing.T, daemons int) {
	const seconds = 300
	p := fake.New(fake.Options{})
	name := func(i int) string { return fmt.Sprintf("h%03d", i) }
	for i := range daemons {
		p.Hosts.Put(ports.HostState{Name: name(i)})
	}
	out := &notifications{first: map[string]time.Time{}, count: map[string]int{}, bytes: map[string]int{}}
	ctx, stop := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for i := range daemons {
		w := NewListWatch(ListOptions{
			Self:  name(i),
			Hosts: p.Hosts,
			Rand:  seeded(uint64(i)),
			OnRead: func(_ []ports.HostState, bytes int, _ error) {
				out.mu.Lock()
				defer out.mu.Unlock()
				out.bytes[name(i)] += bytes
			},
			Notify: func(_ context.Context, host string, leaving bool) { out.record(host, leaving) },
		})
		done.Go(func() { _ = w.Run(ctx) })
	}
	time.Sleep(time.Minute)
	out.mu.Lock()
	clear(out.bytes) // the reads at the start are not part of the rate
	out.mu.Unlock()
	changed := map[string]time.Time{}
	for i := range 10 {
		p.Hosts.Put(ports.HostState{Name: name(i), Leaving: true})
		changed[name(i)+" true"] = time.Now()
		time.Sleep(7 * time.Second)
	}
	time.Sleep((seconds - 70) * time.Second)
	stop()
	done.Wait()
	var latest time.Duration
	maxCount := 0
	for key, at := range changed {
		if out.count[key] == 0 {
			t.Errorf("%s: nobody notified the host", key)
			continue
		}
		latest = max(latest, out.first[key].Sub(at))
		maxCount = max(maxCount, out.count[key])
	}
	bytes := 0
	for _, b := range out.bytes {
		bytes = max(bytes, b)
	}
	t.Logf("%d daemons: notified within %v, at maxCount %d times, %d B/s at the busiest", daemons, latest, maxCount, bytes/seconds)
	if latest > maxNotifyDelay {
		t.Errorf("notified after %v, bound %v", latest, maxNotifyDelay)
	}
	if bytes/seconds > maxListBytesPerSecond {
		t.Errorf("%d B/s, bound %d", bytes/seconds, maxListBytesPerSecond)
	}
	if len(out.count) != len(changed) || maxCount > maxNotifiers {
		t.Errorf("%d distinct notifications for %d changes, one sent %d times", len(out.count), len(changed), maxCount)
	}
}

func seeded(seed uint64) func() float64 { return rand.New(rand.NewPCG(seed, 7)).Float64 }
