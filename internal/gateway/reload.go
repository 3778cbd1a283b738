package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// settingsPollInterval is the interval between two checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 1 * time.Second

// followSettings reads the settings again when the file changes or on SIGHUP. Addresses of
// listeners and of the store cannot change while the process runs. An invalid file is
// reported and ignored.
func (g *Gateway) followSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := fileState(g.settingsFile)
	for {
		trigger := "file changed"
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			trigger = "signal"
		case <-tick.C:
			if now := fileState(g.settingsFile); now == last || now == (fileStamp{}) {
				continue
			}
		}
		last = fileState(g.settingsFile)
		g.reload(trigger)
	}
}

func (g *Gateway) reload(trigger string) {
	s, err := settings.LoadGateway(g.settingsFile)
	if err != nil {
		g.log.Event(component, "settings refused", zap.String("why", trigger), eventlog.Error(err))
		return
	}
	g.log.Event(component, "settings reloaded", zap.String("why", trigger), zap.Bool("changed", s != g.settings()))
	g.currentSettings.Store(&s)
	g.applyPlan(s)
}

// fileStamp is compared to detect changes of a file.
type fileStamp struct {
	size  int64
	mtime time.Time
}

func fileState(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{} // the file is being replaced; the next poll finds it
	}
	return fileStamp{info.Size(), info.ModTime()}
}
