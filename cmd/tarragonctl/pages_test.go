package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestCommandsOfTheOperatorsPages runs each command that stands in a sh block
// of docs/operators, in order, one script for each page. The addresses of the
// pages are replaced by those of the test.
func TestCommandsOfTheOperatorsPages(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operators/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		script := strings.Join(commands(string(text)), "\n") + "\n"
		if !strings.Contains(script, "exec ") {
			t.Errorf("%s has no command", page)
		}
		name := strings.TrimSuffix(filepath.Base(page), ".md") + ".txtar"
		if err := os.WriteFile(filepath.Join(dir, name), []byte(script), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			env.Setenv("USER", "tester")
			if err := os.WriteFile(filepath.Join(env.WorkDir, "key.txt"), []byte("secret\n"), 0o600); err != nil {
				return err
			}
			if err := os.Symlink(examples, filepath.Join(env.WorkDir, "examples")); err != nil {
				return err
			}
			return serve(env)
		},
	})
}

// pageAddresses are the addresses in the pages and the variables of the test.
var pageAddresses = strings.NewReplacer(
	"http://127.0.0.1:7300", "$PLATFORM",
	"http://127.0.0.1:8080", "$CALLER",
	"127.0.0.1:7200", "$DAEMON",
)

// commands turns the sh blocks of a page into lines of a script.
func commands(page string) []string {
	var out []string
	inBlock := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inBlock = line == "```sh"
		case !inBlock || line == "":
		default:
			out = append(out, scriptLines(pageAddresses.Replace(line))...)
		}
	}
	return out
}

func scriptLines(line string) []string {
	if assignment, ok := strings.CutPrefix(line, "export "); ok {
		return []string{"env " + assignment}
	}
	command, input, redirected := strings.Cut(line, " < ")
	if redirected {
		return []string{"stdin " + input, "exec " + command}
	}
	return []string{"exec " + line}
}
