package fleet

import (
	"sync"
	"time"
)

// Notices holds what upstreams announced in their answers: that they leave, or that this
// host should send them no requests for some time. It covers upstreams that drain before
// their row shows it, and full ones that would otherwise get more requests in a burst. It
// is safe for concurrent use; the zero value is empty.
type Notices struct {
	mu    sync.Mutex
	boots map[boot]notice
}

// boot identifies one boot of an upstream: a notice does not apply to later boots.
type boot struct {
	id   string
	born int64
}

type notice struct {
	leaves bool
	// direct is true when this host received the leaving notice in an answer of the
	// upstream, not from a peer.
	direct bool
	// until is the end of the pause in which the upstream accepts no new requests.
	until time.Time
}

func bootOf(u Upstream) boot { return boot{u.ID, u.Born} }

// Leave records that an upstream leaves, and reports whether that is new. The argument
// direct is true when the upstream announced it to this host, false when a peer sent it.
func (n *Notices) Leave(u Upstream, direct bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.boots[bootOf(u)]
	n.put(bootOf(u), notice{leaves: true, direct: direct || was.direct, until: was.until})
	return !was.leaves
}

// AnnouncedLeaving returns the upstreams in ups that have announced to this host that they
// leave.
func (n *Notices) AnnouncedLeaving(ups []Upstream) (out []Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.boots) == 0 {
		return nil
	}
	for _, u := range ups {
		if n.boots[bootOf(u)].direct {
			out = append(out, u)
		}
	}
	return out
}

// Leaves reports whether an upstream has announced that it leaves.
func (n *Notices) Leaves(u Upstream) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boots[bootOf(u)].leaves
}

// PauseUntil records that an upstream accepts no new requests until the given time. A later
// notice with an earlier time does not shorten the pause.
func (n *Notices) PauseUntil(u Upstream, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if was := n.boots[bootOf(u)]; until.After(was.until) {
		n.put(bootOf(u), notice{leaves: was.leaves, direct: was.direct, until: until})
	}
}

func (n *Notices) put(b boot, v notice) {
	if n.boots == nil {
		n.boots = map[boot]notice{}
	}
	n.boots[b] = v
}

// Available returns the upstreams that accept new requests now. If there are none and some
// are not leaving, pause is the time until the first of those accepts requests again.
func (n *Notices) Available(ups []Upstream, now time.Time) (available []Upstream, pause time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.boots) == 0 {
		return ups, 0
	}
	available = make([]Upstream, 0, len(ups))
	for _, u := range ups {
		notice := n.boots[bootOf(u)]
		switch left := notice.until.Sub(now); {
		case notice.leaves:
		case left <= 0:
			available = append(available, u)
		case pause == 0 || left < pause:
			pause = left
		}
	}
	if len(available) > 0 {
		pause = 0
	}
	return available, pause
}

// Forget drops expired notices of upstreams that are no longer listed. It keeps leaving
// notices, since a leaving upstream may be listed again by mistake.
func (n *Notices) Forget(listed []Upstream, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := make(map[boot]bool, len(listed))
	for _, u := range listed {
		live[bootOf(u)] = true
	}
	for b, notice := range n.boots {
		if !live[b] && !notice.leaves && !now.Before(notice.until) {
			delete(n.boots, b)
		}
	}
	if len(n.boots) > maxNotices {
		clear(n.boots) // far more boots than a fleet has; the rows still show which upstreams leave
	}
}

// maxNotices is the maximum number of boots with notices.
const maxNotices = 10_000
