package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ctl"
	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/settings"
	standin "tarragonbay.example/tarragonbay/internal/standin/platform"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tarragonctl": main})
}

// adminKey is the key of the daemon whose address is $LOCKED.
const adminKey = "admin-secret"

// TestScripts runs the operators' commands against a platform and daemons in
// this process. Each script has its own.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("USER", "tester")
			return serve(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs a command and checks its exit code: exits 3 tarragonctl check DIR
func exits(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	if neg || err != nil {
		ts.Fatalf("usage: exits CODE COMMAND")
	}
	got := 0
	err = ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// serve starts what a script meets: the platform at $PLATFORM, a daemon that
// follows it at $DAEMON, one that stays behind at $STALE, one with a key at
// $LOCKED, an empty platform at $EMPTY, a caller listener at $CALLER, and at $NOBODY nothing.
func serve(env *testscript.Env) error {
	// Each command is a process, which the race detector holds for a second at
	// its end unless told otherwise. A race still fails the command.
	env.Setenv("GORACE", "atexit_sleep_ms=10")
	p := fake.New(fake.Options{})
	store := publish.Store{Table: p.Table, Objects: p.Objects}
	if err := bill(env, p); err != nil {
		return err
	}
	platformURL := start(env, standin.New(p).Handler())
	env.Setenv("PLATFORM", platformURL)
	env.Setenv("TARRAGONBAY_PLATFORM", platformURL)
	env.Setenv("EMPTY", start(env, standin.New(fake.New(fake.Options{})).Handler()))
	env.Setenv("DAEMON", host(start(env, daemon("entry-1", "", store))))
	env.Setenv("STALE", host(start(env, daemon("agent-9", "", publish.Store{Table: fake.New(fake.Options{}).Table}))))
	env.Setenv("LOCKED", host(start(env, daemon("entry-2", catalog.HashKey(adminKey), store))))
	env.Setenv("CALLER", start(env, caller()))
	nobody := httptest.NewServer(http.NotFoundHandler())
	nobody.Close()
	env.Setenv("NOBODY", host(nobody.URL))
	return nil
}

// bill puts charges into the ledger; $BILLED is a request that came twice.
func bill(env *testscript.Env, p *fake.Platform) error {
	ctx := context.Background()
	id := ledger.NewRequestID()
	env.Setenv("BILLED", id)
	charger := ledger.NewCharger(ledger.ChargerOptions{
		Agent: "pasay-1", Incarnation: 1, Table: p.Table, Objects: p.Objects,
		FlushInterval: func() time.Duration { return ledger.MaxFlushInterval }, NewID: uuid.NewString,
	})
	now := time.Now()
	chat := func(requestID string) *linkv1.Charge {
		return &linkv1.Charge{
			RequestId: requestID, Organisation: "agila-air", Version: "tag-mini@2",
			InputTokens: 10, OutputTokens: 5, Micros: 25, AtMs: now.UnixMilli(),
		}
	}
	charger.Charge(chat("mine~" + id))
	charger.Charge(chat("mine~" + id))
	charger.Charge(chat(ledger.NewRequestID()))
	charger.Charge(&linkv1.Charge{
		RequestId: ledger.NewRequestID(), Organisation: "dagat-catering", Service: "order-desk", Micros: 20, AtMs: now.UnixMilli(),
	})
	if !charger.Flush(ctx) {
		return errors.New("the charges were not written")
	}
	later := func() time.Time { return now.Add(time.Hour) }
	folder := ledger.NewFolder(ledger.FolderOptions{
		Table: p.Table, Objects: p.Objects, Now: later, NewID: uuid.NewString, MinAge: ledger.FoldAfter,
	})
	_, err := folder.FoldDue(ctx, func() error { return nil })
	return err
}

func start(env *testscript.Env, h http.Handler) string {
	s := httptest.NewServer(h)
	env.Defer(s.Close)
	return s.URL
}

func host(url string) string { return strings.TrimPrefix(url, "http://") }

// daemon is an admin listener whose revision is that of the store.
func daemon(name, keyHash string, store publish.Store) http.Handler {
	log, err := telemetry.NewLog(&bytes.Buffer{}, "info")
	if err != nil {
		panic(err)
	}
	dumps := &telemetry.Dumps{}
	dumps.Register("route", telemetry.DumperFunc(func() any { return []string{"planner"} }))
	metrics := telemetry.NewMetrics()
	metrics.Counter("entry", "requests").Inc(3)
	var leaving atomic.Bool
	return adminapi.NewHandler(adminapi.Options{
		KeyHash: keyHash, Log: log, Metrics: metrics, Dumps: dumps,
		Status: func() adminapi.Status {
			head, _, _ := store.Head(context.Background()) // an unread head is revision 0
			return adminapi.Status{Name: name, Role: "entry", Domain: "pasay", Revision: head.Revision, Ready: true, Leaving: leaving.Load()}
		},
		Config: func() (*catalog.Set, uint64) {
			head, _, _ := store.Head(context.Background()) // as above
			state, _, _ := store.Load(context.Background(), head)
			return state.Set, state.Revision
		},
		Drain: func() { leaving.Store(true) },
	})
}

// caller is a caller listener whose router answers everything, for the key
// "dev-a" and the model "m".
func caller() http.Handler {
	set, err := catalog.NewSet([]catalog.Object{
		{Key: catalog.Key{Kind: catalog.KindOrganisation, Name: "a"}, Spec: []byte(`{"keys":["` + catalog.HashKey("dev-a") + `"],"allow":["m"]}`)},
		{Key: catalog.Key{Kind: catalog.KindModel, Name: "m"}, Spec: []byte(`{}`)},
		{Key: catalog.Key{Kind: catalog.KindVersion, Name: "m@1"}, Spec: []byte(`{"inputMicros":1,"outputMicros":1}`)},
	})
	if err != nil {
		panic(err)
	}
	s := settings.Default(settings.RoleEntry)
	return callerapi.NewHandler(callerapi.Options{
		Router: echo{}, Set: func() *catalog.Set { return set }, Limits: s.Limits, Timeouts: s.Timeouts,
	})
}

type echo struct{}

func (echo) Chat(_ context.Context, _ callerapi.ChatCall, sink callerapi.AnswerSink) error {
	if err := sink.Begin(callerapi.Start{Version: "m@1", Revision: 1}); err != nil {
		return err
	}
	if err := sink.Chunk([]byte(`{"id":"c1","choices":[]}`)); err != nil {
		return err
	}
	return sink.End(callerapi.Usage{})
}

func (echo) Service(context.Context, callerapi.ServiceCall) (callerapi.ServiceAnswer, error) {
	return callerapi.ServiceAnswer{Status: http.StatusOK}, nil
}

func (echo) Ready() error { return nil }

// TestResultCodesPageIsTheTable keeps the page and the code in step.
func TestResultCodesPageIsTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != ctl.CodesPage() {
		t.Error("docs/RESULT-CODES.md differs; write it anew with: tarragonctl codes --page > docs/RESULT-CODES.md")
	}
}
