package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// The forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// grid is what a result looks like to a person: aligned columns, or lines of
// text when there is no header.
type grid struct {
	header []string
	rows   [][]string
}

// view is a result of a command: its JSON form is the value itself.
type view interface {
	grid() grid
}

// print writes a result in the form that the flags ask for.
func (a *app) print(v view) error {
	if a.output == outputJSON {
		enc := json.NewEncoder(a.Out)
		enc.SetIndent("", "  ")
		return errors.Trace(enc.Encode(v))
	}
	g := v.grid()
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	if len(g.header) > 0 {
		writeRow(w, g.header)
	}
	for _, r := range g.rows {
		writeRow(w, r)
	}
	return errors.Trace(w.Flush())
}

func writeRow(w *tabwriter.Writer, cells []string) {
	fmt.Fprintln(w, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
}

// message is a result of one sentence.
type message struct {
	Message  string `json:"message"`
	Revision uint64 `json:"revision,omitempty"`
}

func (m message) grid() grid { return grid{rows: [][]string{{m.Message}}} }
