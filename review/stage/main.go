package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the plays by their names.
var cases = map[string]func(st *Stage) int{
	"bodies": playBodies,
	"drill":  playDrill,
	"rest":   playRest,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER, in the root of the repository")
		os.Exit(failed)
	}
	st := &Stage{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if st.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err == nil {
		if st.root, err = os.Getwd(); err == nil {
			if st.tmp, err = os.MkdirTemp("", "review"); err == nil {
				st.store, err = startStore()
			}
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code := cases[os.Args[1]](st)
	st.log("exit code %d", code)
	st.end()
	os.Exit(code)
}
