// Command stage plays the platform, the replicas and the consumers of the cases in review/.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"
)

//go:embed names.json
var namesText []byte

// names holds what the platform's pages call headers, calls and variables.
var names = func() (m map[string]string) {
	if err := json.Unmarshal(namesText, &m); err != nil {
		cannotRun(err)
	}
	return m
}()

func name(short string) string { return names[short] }

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// cannotRun ends a case that could not be played.
func cannotRun(why any) {
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	os.Exit(notPlayed)
}

func main() {
	switch {
	case len(os.Args) == 6 && os.Args[1] == "replica":
		ms := func(s string) time.Duration { n, _ := strconv.Atoi(s); return time.Duration(n) * time.Millisecond }
		events, _ := strconv.Atoi(os.Args[3])
		replicaMain(os.Args[2], events, ms(os.Args[4]), ms(os.Args[5]))
	case len(os.Args) == 4 && os.Args[1] == "resumed":
		os.Exit(resumed(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	case len(os.Args) == 4 && os.Args[1] == "shift":
		os.Exit(shift(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	case len(os.Args) == 4 && os.Args[1] == "emptied":
		os.Exit(emptied(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	case len(os.Args) == 4 && os.Args[1] == "quiet":
		os.Exit(quiet(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	default:
		cannotRun("usage: stage CASE GATEWAY FOLDER")
	}
}
