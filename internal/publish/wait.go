package publish

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// The pace at which an operator's command asks the daemons.
const (
	askConcurrency = 32
	askTimeout     = time.Second
	// firstAskPause and maxAskPause are the first and the longest pause
	// between two rounds.
	firstAskPause = 200 * time.Millisecond
	maxAskPause   = time.Second
)

// DaemonRevision is what one daemon has in force.
type DaemonRevision struct {
	Address string `json:"address"`
	// Name is empty when the daemon did not answer.
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Err says why the daemon did not answer; nil when it did.
	Err error `json:"-"`
}

// Revisions asks every daemon which revision it has in force, a bounded number
// at a time. The answers are in the order of the addresses.
func Revisions(ctx context.Context, peers PeerClient, addresses []string) []DaemonRevision {
	out := make([]DaemonRevision, len(addresses))
	group := pond.NewPool(askConcurrency).NewGroup()
	for i, address := range addresses {
		out[i] = DaemonRevision{Address: address, Err: errNotAsked}
		group.Submit(func() { out[i] = askRevision(ctx, peers, address) })
	}
	_ = group.Wait() // a panic of a task leaves its daemon as not asked
	return out
}

var errNotAsked = errors.New("the daemon was not asked")

// askRevision asks one daemon. The request claims the highest revision, so
// that the answer carries the envelope alone.
func askRevision(ctx context.Context, peers PeerClient, address string) DaemonRevision {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req := &linkv1.PullRequest{Envelope: &linkv1.Envelope{Revision: math.MaxUint64}}
	resp, err := peers.Pull(ctx, address, req)
	if err != nil {
		return DaemonRevision{Address: address, Err: err}
	}
	e := resp.GetEnvelope()
	return DaemonRevision{Address: address, Name: e.GetSender(), Revision: e.GetRevision()}
}

// Highest returns the highest revision in force at the daemons that answer.
// It is the floor of a publication.
func Highest(ctx context.Context, peers PeerClient, addresses []string) uint64 {
	var highest uint64
	for _, d := range Revisions(ctx, peers, addresses) {
		highest = max(highest, d.Revision)
	}
	return highest
}

// NotInForceError names the daemons where a revision is not in force. It
// carries the code NotInForce.
type NotInForceError struct {
	Revision uint64
	Daemons  []DaemonRevision
}

// Error names each daemon and what it has.
func (e *NotInForceError) Error() string {
	parts := make([]string, len(e.Daemons))
	for i, d := range e.Daemons {
		parts[i] = fmt.Sprintf("%s is at revision %d", d.Address, d.Revision)
		if d.Err != nil {
			parts[i] = d.Address + " does not answer"
		}
	}
	return fmt.Sprintf("%s revision %d is not in force everywhere: %s", result.NotInForce, e.Revision, strings.Join(parts, "; "))
}

// Unwrap returns the numbered error.
func (e *NotInForceError) Unwrap() error {
	return result.New(result.NotInForce, "revision %d is not in force at %d daemons", e.Revision, len(e.Daemons))
}

// WaitInForce returns once the revision, or a higher one, is in force at every
// daemon. When the context ends first it returns a *NotInForceError.
func WaitInForce(ctx context.Context, peers PeerClient, addresses []string, revision uint64) error {
	missing := make([]DaemonRevision, len(addresses))
	for i, a := range addresses {
		missing[i].Address = a
	}
	for pause := firstAskPause; ; pause = min(2*pause, maxAskPause) {
		missing = stillMissing(ctx, peers, missing, revision)
		if len(missing) == 0 {
			return nil
		}
		if !wait.For(ctx, pause) {
			return &NotInForceError{Revision: revision, Daemons: missing}
		}
	}
}

// stillMissing asks the daemons again and returns those below the revision.
func stillMissing(ctx context.Context, peers PeerClient, daemons []DaemonRevision, revision uint64) []DaemonRevision {
	addresses := make([]string, len(daemons))
	for i, d := range daemons {
		addresses[i] = d.Address
	}
	var missing []DaemonRevision
	for _, d := range Revisions(ctx, peers, addresses) {
		if d.Err != nil || d.Revision < revision {
			missing = append(missing, d)
		}
	}
	return missing
}
