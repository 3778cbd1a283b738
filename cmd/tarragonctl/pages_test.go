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
	ran := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		lines, stray := commands(string(text))
		for _, line := range stray {
			t.Errorf("%s: a command stands outside a sh block and is not run: %s", page, line)
		}
		ran += len(lines)
		script := strings.Join(lines, "\n") + "\n"
		name := strings.TrimSuffix(filepath.Base(page), ".md") + ".txtar"
		if err := os.WriteFile(filepath.Join(dir, name), []byte(script), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if ran == 0 {
		t.Fatal("no page has a command")
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

// commands turns the sh blocks of a page into lines of a script. It returns as
// well the lines that begin with a command elsewhere.
func commands(page string) (script, stray []string) {
	inBlock := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inBlock = line == "```sh"
		case inBlock && line != "":
			script = append(script, scriptLines(pageAddresses.Replace(line))...)
		case strings.HasPrefix(line, "tarragonctl "):
			stray = append(stray, line)
		}
	}
	return script, stray
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
