package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/session"
)

// conversation is one session as its caller sees it.
type conversation struct {
	name, token, version string
}

// openSessions starts sessions at the entries in turn.
func openSessions(c *harness.Cluster, n int) []*conversation {
	c.T.Helper()
	var out []*conversation
	caller := c.Caller()
	for i := range n {
		name := fmt.Sprint("session-", i)
		model := ""
		if i%2 == 1 {
			model = "small@2"
		}
		r := caller.Do(c.Entries[i%len(c.Entries)], harness.Ask{Model: model, Session: "new", SessionName: name})
		if !r.Whole || r.Session == "" {
			c.T.Fatalf("no session: %+v", r)
		}
		out = append(out, &conversation{name, r.Session, r.Version})
	}
	return out
}

// goOn asks once in each session, at the other entry than before. Each must be
// answered by its own version.
func goOn(c *harness.Cluster, sessions []*conversation, round int) {
	c.T.Helper()
	for i, s := range sessions {
		if r := s.ask(c, c.Entries[(i+round)%len(c.Entries)]); !r.Whole {
			c.T.Errorf("%s on %s got %+v", s.name, s.version, r)
		}
	}
}

// ask asks once and fails when another version answers.
func (s *conversation) ask(c *harness.Cluster, entry *harness.Node) harness.Reply {
	c.T.Helper()
	r := c.Caller().Do(entry, harness.Ask{Session: s.token, SessionName: s.name})
	if r.Whole {
		s.token = r.Session
	}
	if r.Whole && r.Version != s.version {
		c.T.Errorf("%s on %s was answered by %s", s.name, s.version, r.Version)
	}
	return r
}

// probation are the refusals of a version that is new and held, or was held
// while the session waited for its budget.
var probation = []result.Code{result.ExposureSpent, result.Quarantined}

// goOnInProbation asks once in sessions of a version that is new: it answers,
// as soon as its budget allows, or is held and says when to come back. It
// returns how many were answered.
func goOnInProbation(c *harness.Cluster, sessions []*conversation, round int) (answered int) {
	c.T.Helper()
	for i, s := range sessions {
		r := s.ask(c, c.Entries[(i+round)%len(c.Entries)])
		if r.Whole {
			answered++
			continue
		}
		if !slices.Contains(probation, result.Code(r.Code)) || r.Outcome != result.NotRun.String() || r.RetryAfter == "" {
			c.T.Errorf("%s on %s got %+v", s.name, s.version, r)
		}
	}
	return answered
}

func TestSessionsKeepTheirVersion(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Versions: twoVersions, Engine: quick})
	sessions := openSessions(c, 12)
	goOn(c, sessions, 1)

	c.Objects.Versions["small@1"].OutputMicros = 50
	c.WaitRevision(c.Publish(), c.Nodes()...)
	goOn(c, sessions, 2)

	c.Kill(c.Agents[0])
	goOn(c, sessions, 3)
	c.Restart(c.Agents[0])
	goOn(c, sessions, 4)

	newRollout(c.Objects)
	c.WaitRevision(c.Publish(), c.Nodes()...)
	oldOnes, newOnes := byVersion(sessions)
	load := c.StartLoad(4, c.Entries, unaryAsk)
	const rounds = 10
	answered := 0
	for round := range rounds {
		load.WaitFor(c, 40)
		goOn(c, oldOnes, round)
		answered += goOnInProbation(c, newOnes, round)
	}
	if asked := rounds * len(newOnes); 2*answered < asked {
		t.Errorf("%d of %d requests of sessions on the new version were answered, want half", answered, asked)
	}
	c.Eventually("the roll-out is done", func() bool {
		return inForce(c, c.Entries[0]).Rollouts["up"].State == catalog.RolloutDone &&
			inForce(c, c.Entries[1]).Rollouts["up"].State == catalog.RolloutDone
	})
	wholeReplies(t, load.Stop())
	goOn(c, sessions, 5)
	c.Verify()
}

// byVersion parts the sessions of the version that a roll-out replaces from
// those of the new one.
func byVersion(sessions []*conversation) (oldOnes, newOnes []*conversation) {
	for _, s := range sessions {
		if s.version == "small@1" {
			oldOnes = append(oldOnes, s)
		} else {
			newOnes = append(newOnes, s)
		}
	}
	return oldOnes, newOnes
}

// sessionSecret is the key of the harness's entries.
const sessionSecret = "a-secret-of-the-tests-that-is-long-enough"

// signed returns a token that was signed with the secret at a time.
func signed(t *testing.T, secret, version string, at time.Time) string {
	t.Helper()
	signer, err := session.NewSigner([]session.Key{{Name: "k1", Secret: []byte(secret)}}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	token, err := signer.Issue(harness.Organisation, version, session.ID{1}, at)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// changed returns the token with another last byte of its signature.
func changed(token string) string {
	last := byte('A')
	if token[len(token)-2] == last {
		last = 'B'
	}
	return token[:len(token)-2] + string(last) + token[len(token)-1:]
}

func TestBadSessionTokensAreRefused(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 1, Engine: quick})
	alpha, beta := c.Caller(), c.CallerOf(harness.Other, harness.OtherKey)
	good := alpha.Do(c.Entries[0], harness.Ask{Session: "new"}).Session
	tests := []struct {
		name   string
		caller *harness.Caller
		token  string
		code   result.Code
	}{
		{"forged", alpha, signed(t, "another-secret-that-is-also-long-enough", "small@1", time.Now()), result.SessionForged},
		{"expired", alpha, signed(t, sessionSecret, "small@1", time.Now().Add(-2*time.Hour)), result.SessionExpired},
		{"foreign", beta, good, result.SessionForeign},
		{"cut", alpha, good[:len(good)/2], result.BadSession},
		{"changed", alpha, changed(good), result.SessionForged},
		{"not a token", alpha, "nonsense", result.BadSession},
		{"unknown version", alpha, signed(t, sessionSecret, "small@9", time.Now()), result.VersionWithdrawn},
	}
	for _, tt := range tests {
		r := tt.caller.Do(c.Entries[0], harness.Ask{Session: tt.token})
		if r.Code != int(tt.code) || r.Outcome != result.NotRun.String() {
			t.Errorf("%s: got %+v, want code %d", tt.name, r, tt.code)
		}
	}
	if r := alpha.Do(c.Entries[0], harness.Ask{Session: good}); !r.Whole {
		t.Errorf("the good token got %+v", r)
	}
	if n := runsOf(c, "small@1"); n != 2 {
		t.Errorf("%d calls reached the engine, want 2", n)
	}
	c.Verify()
}
