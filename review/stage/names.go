package main

import (
	_ "embed"
	"encoding/json"
)

// names.json holds the names of the wire, which stand in Go files of platform/ alone.
//
//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}()

// name returns a name of the wire.
func name(short string) string {
	n, ok := names[short]
	if !ok {
		panic("no name for " + short)
	}
	return n
}
