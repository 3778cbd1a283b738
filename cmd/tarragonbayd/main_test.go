package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"tarragonbay.example/tarragonbay/internal/daemoncmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tarragonbayd": func() { os.Exit(daemoncmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

// readyLine is what dev prints once it answers.
type readyLine struct {
	Ready    bool     `json:"ready"`
	URL      string   `json:"url"`
	Key      string   `json:"key"`
	Models   []string `json:"models"`
	Cascades []string `json:"cascades"`
}

// devLimit bounds one run of dev; it fails a hang.
const devLimit = time.Minute

// TestDevAnswersAndStopsGracefully runs the README's command for each example.
func TestDevAnswersAndStopsGracefully(t *testing.T) {
	program, err := exec.LookPath("tarragonbayd")
	if err != nil {
		t.Fatal(err)
	}
	for _, config := range []string{"examples/kusinang", "examples/lemnotrat"} {
		t.Run(config, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), devLimit)
			defer cancel()
			cmd := exec.CommandContext(ctx, program, "dev", "--config", config)
			cmd.Stderr = os.Stderr
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			line, err := bufio.NewReader(out).ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			var r readyLine
			if err := json.Unmarshal(line, &r); err != nil || !r.Ready || len(r.Models) == 0 || len(r.Cascades) == 0 {
				t.Fatalf("ready line %s: %v", line, err)
			}
			askEach(t, r)
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("the exit code is not 0: %v", err)
			}
		})
	}
}

// askEach asks every model and cascade once.
func askEach(t *testing.T, r readyLine) {
	t.Helper()
	for _, model := range append(r.Models, r.Cascades...) {
		body := `{"model":"` + model + `","messages":[{"role":"user","content":"hello"}],"max_tokens":6}`
		req, err := http.NewRequest(http.MethodPost, r.URL+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+r.Key)
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		allowed := resp.StatusCode != http.StatusForbidden
		if err != nil || (allowed && (resp.StatusCode != http.StatusOK || !strings.Contains(string(data), `"content":"answer `))) {
			t.Errorf("%s: %s %s %v", model, resp.Status, data, err)
		}
	}
}
