package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
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

// olderVariable names a daemon program of an earlier build. Every second start of a daemon
// then runs it, so that the tests cover both builds side by side and each reading what the
// other wrote.
const olderVariable = "TARRAGONBAY_OLDER_DAEMON"

// starts counts the daemons that were started.
var starts atomic.Uint64

// nextBinary returns the program for the next daemon that starts.
func nextBinary(t testing.TB) string {
	if older := os.Getenv(olderVariable); older != "" && starts.Add(1)%2 == 0 {
		return older
	}
	return Binary(t)
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
		if RaceEnabled {
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
