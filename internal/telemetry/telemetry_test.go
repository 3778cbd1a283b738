package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestLogPrefixesEachPartAndChangesLevel(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLog(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	entry := log.Part("entry")
	entry.Debug("Hidden.")
	entry.Info("Configuration adopted.", zap.Uint64("revision", 4))
	if err := log.SetLevel("debug"); err != nil {
		t.Fatal(err)
	}
	entry.Debug("Shown.")
	got := out.String()
	for _, want := range []string{`INFO entry: Configuration adopted. {"revision": 4}`, "DEBUG entry: Shown."} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, got)
		}
	}
	if strings.Contains(got, "Hidden") {
		t.Error("a debug line was written at level info")
	}
	if log.SetLevel("loud") == nil || log.Level() != "debug" {
		t.Error("a wrong level must be refused and leave the level alone")
	}
}

func TestMetricsAreWrittenSortedWithUnits(t *testing.T) {
	m := NewMetrics()
	m.Counter("entry", "requests").Inc(2)
	m.Counter("entry", "requests").Inc(1)
	m.Gauge("agent", "queue_bytes").Update(7)
	m.GaugeFunc("agent", "in_flight", func() int64 { return 9 })
	m.Timer("entry", "request").Observe(1500 * time.Millisecond)
	var out bytes.Buffer
	if err := m.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	want := `# TYPE tarragonbay_agent_in_flight gauge
tarragonbay_agent_in_flight 9
# TYPE tarragonbay_agent_queue_bytes gauge
tarragonbay_agent_queue_bytes 7
# TYPE tarragonbay_entry_request_seconds summary
tarragonbay_entry_request_seconds{quantile="0.5"} 1.5
tarragonbay_entry_request_seconds{quantile="0.95"} 1.5
tarragonbay_entry_request_seconds{quantile="0.99"} 1.5
tarragonbay_entry_request_seconds_sum 1.5
tarragonbay_entry_request_seconds_count 1
# TYPE tarragonbay_entry_requests_total counter
tarragonbay_entry_requests_total 3
`
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func TestDumpHoldsEveryPartInOrder(t *testing.T) {
	var d Dumps
	d.Register("b", DumperFunc(func() any { return struct{ N int }{2} }))
	d.Register("a", DumperFunc(func() any { return []string{"x"} }))
	var out bytes.Buffer
	if err := d.WriteJSON(&out); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(out.String()), "")
	if got != `{"parts":[{"part":"a","state":["x"]},{"part":"b","state":{"N":2}}]}` {
		t.Errorf("got %s", got)
	}
}
