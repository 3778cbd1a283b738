package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
	platformstandin "tarragonbay.example/tarragonbay/internal/standin/platform"
	"tarragonbay.example/tarragonbay/internal/standin/service"
)

// standinEnv holds the settings of a stand-in, when the test binary is run as
// one.
const standinEnv = "TARRAGONBAY_STANDIN"

// standinSpec tells a stand-in process what to be.
type standinSpec struct {
	Kind    string          `json:"kind"`
	Engine  engine.Options  `json:"engine"`
	Service serviceOptions  `json:"service"`
	Limits  platformOptions `json:"limits"`
}

type serviceOptions struct {
	Name      string            `json:"name"`
	Behaviour service.Behaviour `json:"behaviour"`
}

type platformOptions struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// Main runs the tests, or a stand-in when the environment asks for one. It is
// called by TestMain.
func Main(m *testing.M) {
	spec := os.Getenv(standinEnv)
	if spec == "" {
		code := m.Run()
		removeBinary()
		os.Exit(code)
	}
	if err := runStandin(spec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runStandin(text string) error {
	var spec standinSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ready, err := json.Marshal(Ready{Ready: true, Address: l.Addr().String()})
	if err != nil {
		return err
	}
	fmt.Println(string(ready))
	switch spec.Kind {
	case "engine":
		return http.Serve(l, engine.New(spec.Engine).Handler())
	case "service":
		return http.Serve(l, service.New(spec.Service.Name, spec.Service.Behaviour).Handler())
	}
	p := fake.New(fake.Options{
		TableReadsPerSecond:  spec.Limits.Reads,
		TableWritesPerSecond: spec.Limits.Writes,
		Judge:                judge,
	})
	return platformstandin.New(p).Serve(context.Background(), l)
}

// judge rates an answer of the engine stand-in.
func judge(s ports.Sample) bool { return !strings.Contains(s.Answer, "wrong") }

// startStandin runs the test binary as a stand-in.
func startStandin(t testing.TB, name string, spec standinSpec) *Proc {
	t.Helper()
	data, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Start(t, name, []string{standinEnv + "=" + string(data)}, self)
}

// adminTimeout bounds a call of a stand-in's admin path.
const adminTimeout = 5 * time.Second

func getJSON(t testing.TB, url string, v any) {
	t.Helper()
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		t.Fatal(err)
	}
}

func putJSON(t testing.TB, url string, v any) {
	t.Helper()
	sendJSON(t, http.MethodPut, url, v)
}

func postJSON(t testing.TB, url string, v any) {
	t.Helper()
	sendJSON(t, http.MethodPost, url, v)
}

func sendJSON(t testing.TB, method, url string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, strings.NewReader(string(data)))
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		t.Fatalf("%s %s: %s", method, url, resp.Status)
	}
}
