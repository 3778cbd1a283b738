// Package examples holds the complete configurations of two deployments, built
// into the binaries so that dev mode needs no files.
package examples

import (
	"embed"
	"io/fs"

	"github.com/juju/errors"
)

//go:embed kusinang/*.jsonc lemnotrat/*.jsonc
var files embed.FS

// Default is the example that dev mode runs when none is named.
const Default = "kusinang"

// Names lists the examples.
var Names = []string{"kusinang", "lemnotrat"}

// Config returns the configuration folder of an example. It fails with
// NotFound for another name.
func Config(name string) (fs.FS, error) {
	if _, err := fs.Stat(files, name); err != nil {
		return nil, errors.NotFoundf("example %q", name)
	}
	return fs.Sub(files, name)
}

// DevKey returns the caller key of an organisation of the examples. It stands
// in no other configuration, since everyone can read it here.
func DevKey(organisation string) string { return "dev-" + organisation }
