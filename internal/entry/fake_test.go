package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/chat"
	"tarragonbay.example/tarragonbay/internal/claim"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/route"
	"tarragonbay.example/tarragonbay/internal/session"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// testIncarnation is that of every fake agent.
const testIncarnation = 7

// script is what an agent does with one attempt: it refuses it, or answers it
// by filling the log.
type script func(req *linkv1.AttemptRequest, l *link.AnswerLog) error

// fakeAgents plays the agents of two hosts. Scripts are used up in the order of
// the attempts; after the last one every attempt is answered.
type fakeAgents struct {
	mu        sync.Mutex
	scripts   []script
	attempts  []*linkv1.AttemptRequest
	cancelled chan *linkv1.CancelRequest
	logs      *link.Logs
}

func (a *fakeAgents) Attempt(_ context.Context, req *linkv1.AttemptRequest) (*link.AnswerLog, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts = append(a.attempts, req)
	next := script(answered)
	if len(a.scripts) > 0 {
		next, a.scripts = a.scripts[0], a.scripts[1:]
	}
	l, err := a.logs.Open(req.GetAttemptId())
	if err != nil {
		return nil, err
	}
	return l, next(req, l)
}

func (a *fakeAgents) seen() []*linkv1.AttemptRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*linkv1.AttemptRequest(nil), a.attempts...)
}

// Settle knows of every attempt and no outcome.
func (a *fakeAgents) Settle(context.Context, *linkv1.SettleRequest) (*linkv1.SettleResponse, error) {
	return &linkv1.SettleResponse{Outcome: result.Unknown.String(), State: attempt.Forgotten.String()}, nil
}

func (a *fakeAgents) Cancel(_ context.Context, req *linkv1.CancelRequest) (*linkv1.CancelResponse, error) {
	a.cancelled <- req
	return &linkv1.CancelResponse{Found: true}, nil
}

func (a *fakeAgents) Report(context.Context, *linkv1.ReportRequest) (*linkv1.ReportResponse, error) {
	return &linkv1.ReportResponse{Envelope: &linkv1.Envelope{Incarnation: testIncarnation}}, nil
}

func (a *fakeAgents) HandIn(context.Context, *linkv1.HandInRequest) (*linkv1.HandInResponse, error) {
	return &linkv1.HandInResponse{}, nil
}

func (a *fakeAgents) Order(context.Context, *linkv1.OrderRequest) (*linkv1.OrderResponse, error) {
	return &linkv1.OrderResponse{}, nil
}

// answered is a whole answer that names its version or service.
func answered(req *linkv1.AttemptRequest, l *link.AnswerLog) error {
	_ = l.Head(&linkv1.Head{Status: http.StatusOK})
	_ = l.Data(context.Background(), []byte("answer of "+req.GetVersion()+req.GetService()))
	return l.End(&linkv1.Final{Charge: &linkv1.Charge{RequestId: req.GetRequestId(), AttemptId: req.GetAttemptId()}})
}

// refuses is a refusal before the dispatch: proven not run.
func refuses(code result.Code) script {
	return func(*linkv1.AttemptRequest, *link.AnswerLog) error {
		return result.New(code, "refused by the test").WithOutcome(result.NotRun)
	}
}

// ends is the end of an attempt without a whole answer.
func ends(code result.Code, outcome result.Outcome) script {
	return func(_ *linkv1.AttemptRequest, l *link.AnswerLog) error {
		return l.Fail(&linkv1.Final{}, result.New(code, "ended by the test").WithOutcome(outcome))
	}
}

// hangs begins an answer that never ends.
func hangs(_ *linkv1.AttemptRequest, l *link.AnswerLog) error {
	_ = l.Head(&linkv1.Head{Status: http.StatusOK})
	return l.Data(context.Background(), []byte("part"))
}

// copies counts the copies of charges.
type copies struct {
	mu   sync.Mutex
	kept []string
}

func (c *copies) Add(_ string, charge *linkv1.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, charge.GetAttemptId())
}

func (c *copies) Observe(string, uint64, uint64) {}

func (c *copies) MarkAgentGone(string) {}

// chosenOnly tries nothing, so that the best known choice is always taken.
var chosenOnly = route.Settings{
	ExploreMax: -1, ExploreShadow: -1, ExploreStandby: -1, ExploreKnown: -1, ShadowHeld: -1,
}

// rig is an entry with fakes around it.
type rig struct {
	*Entry
	agents *fakeAgents
	copies *copies
	signer *session.Signer
}

// newRig returns an entry before two hosts that serve m@1, m@2 and the desk.
func newRig(t *testing.T, withdrawn string, scripts ...script) *rig {
	t.Helper()
	signer, err := session.NewSigner([]session.Key{{Name: "k", Secret: make([]byte, 32)}}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	agents := &fakeAgents{
		scripts:   scripts,
		cancelled: make(chan *linkv1.CancelRequest, 1),
		logs:      link.NewLogs(testIncarnation, func() uint64 { return 1 }, link.DefaultTiming()),
	}
	client := link.NewClient(link.Options{Revision: func() uint64 { return 1 }, Timing: link.DefaultTiming()})
	r := &rig{agents: agents, copies: &copies{}, signer: signer}
	book := claim.NewRegistry(claim.Options{
		Table:  fake.New(fake.Options{}).Table,
		Settle: Settle(client.Settle),
		Fetch:  Fetch(client.Fetch, r.copies),
		Now:    time.Now,
		NewID:  uuid.NewString,
	})
	config := inForce{twoHosts(t, withdrawn, agents.listen(t), agents.listen(t))}
	r.Entry = New(Options{Name: "e", Config: config, Link: client, Sessions: signer, Copies: r.copies, Claims: book,
		Route: chosenOnly, InFlight: 8, Queue: 8, Log: zap.NewNop(), Metrics: telemetry.NewMetrics()})
	r.SetMembers(noMembers{})
	r.apply(config.set)
	return r
}

// listen serves the agents at one more address.
func (a *fakeAgents) listen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, handler := link.NewHandler(a, a.logs)
	server := link.NewHTTPServer(handler, nil)
	go func() { _ = link.Serve(server, ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func twoHosts(t *testing.T, withdrawn string, addresses ...string) *catalog.Set {
	t.Helper()
	object := func(kind catalog.Kind, name, spec string) catalog.Object {
		return catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: []byte(spec)}
	}
	version := func(name string) catalog.Object {
		state := catalog.VersionActive
		if name == withdrawn {
			state = catalog.VersionWithdrawn
		}
		return object(catalog.KindVersion, name, fmt.Sprintf(`{"inputMicros":1,"outputMicros":1,"state":%q}`, state))
	}
	objects := []catalog.Object{
		object(catalog.KindOrganisation, "o", `{"allow":["m"],"services":["desk"]}`),
		object(catalog.KindModel, "m", `{"qualityTarget":0.9}`),
		version("m@1"), version("m@2"),
		object(catalog.KindCascade, "c", `{"steps":["m@1","m@2"],"qualityTarget":0.9}`),
		object(catalog.KindService, "desk", `{"once":["POST /bookings"]}`),
	}
	for i, address := range addresses {
		place := fmt.Sprintf(`"host":"h%d","domain":"d","agent":%q,"address":"127.0.0.1:1"`, i, address)
		objects = append(objects,
			object(catalog.KindUpstream, fmt.Sprint("engine", i), "{"+place+`,"versions":["m@1","m@2"]}`),
			object(catalog.KindUpstream, fmt.Sprint("desk", i), "{"+place+`,"service":"desk"}`))
	}
	set, err := catalog.NewSet(objects)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// testPatience is the time that callers of the tests give.
const testPatience = 20 * time.Second

func book(key string) callerapi.ServiceCall {
	return callerapi.ServiceCall{
		RequestID: uuid.NewString(), Organisation: "o", Service: "desk", Method: http.MethodPost,
		Path: "/bookings", IdempotencyKey: key, Once: true, Deadline: time.Now().Add(testPatience),
	}
}

func ask(t *testing.T, target string) callerapi.ChatCall {
	t.Helper()
	body, err := chat.Check([]byte(`{"messages":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	return callerapi.ChatCall{
		RequestID: uuid.NewString(), Organisation: "o", Target: target, Body: body, Deadline: time.Now().Add(testPatience),
	}
}

// sink is a caller.
type sink struct {
	start callerapi.Start
	body  string
	ended bool
	// onChunk is called with each chunk, when set.
	onChunk func()
}

func (s *sink) Begin(start callerapi.Start) error {
	s.start = start
	return nil
}

func (s *sink) Chunk(data []byte) error {
	s.body += string(data)
	if s.onChunk != nil {
		s.onChunk()
	}
	return nil
}

func (s *sink) End(callerapi.Usage) error {
	s.ended = true
	return nil
}
