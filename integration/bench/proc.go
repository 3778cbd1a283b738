package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// Positions in /proc/PID/stat after the name, which ends with a bracket.
const (
	statUser   = 11
	statSystem = 12
)

// cpuTime is the processor time a process has used, in user and system.
func cpuTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	var ticks int64
	for _, i := range []int{statUser, statSystem} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// residentBytes is the memory that a process holds now.
func residentBytes(t testing.TB, pid int) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return kb << 10
	}
	t.Fatalf("process %d tells no memory", pid)
	return 0
}

// slope is the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// transferred is the number of bytes a process has read and written, which for
// a daemon are those of its connections and its log.
func transferred(t testing.TB, pid int) int64 {
	t.Helper()
	return ioCount(t, pid, "rchar") + ioCount(t, pid, "wchar")
}

// writeCalls is the number of writes a process has asked the system for.
func writeCalls(t testing.TB, pid int) int64 {
	t.Helper()
	return ioCount(t, pid, "syscw")
}

// ioCount reads one line of /proc/PID/io.
func ioCount(t testing.TB, pid int, name string) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		value, ok := strings.CutPrefix(line, name+": ")
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	t.Fatalf("/proc/%d/io has no line %s", pid, name)
	return 0
}
