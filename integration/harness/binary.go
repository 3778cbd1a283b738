package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// daemonPackage is built once for all tests of a run.
const daemonPackage = "tarragonbay.example/tarragonbay/cmd/tarragonbayd"

var binary struct {
	once sync.Once
	path string
	err  error
	out  []byte
}

// Binary returns the path of the daemon's program, built on first use, with
// the race detector when the tests have it.
func Binary(t testing.TB) string {
	t.Helper()
	binary.once.Do(func() {
		dir, err := os.MkdirTemp("", "tarragonbay-it")
		if err != nil {
			binary.err = err
			return
		}
		binary.path = filepath.Join(dir, "tarragonbayd")
		args := []string{"build", "-o", binary.path}
		if raceEnabled {
			args = append(args, "-race")
		}
		binary.out, binary.err = exec.Command("go", append(args, daemonPackage)...).CombinedOutput()
	})
	if binary.err != nil {
		t.Fatalf("building the daemon: %v\n%s", binary.err, binary.out)
	}
	return binary.path
}

// removeBinary deletes the program after the run.
func removeBinary() {
	if binary.path != "" {
		_ = os.RemoveAll(filepath.Dir(binary.path))
	}
}
