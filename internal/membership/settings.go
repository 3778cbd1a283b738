package membership

import "time"

// Settings of a View. Zero fields take the defaults.
type Settings struct {
	// Entry is the name of this daemon; it picks the subset.
	Entry string
	// SubsetSize bounds the hosts that get heartbeats.
	SubsetSize int
	// BytesPerSecond bounds the heartbeats, both ways.
	BytesPerSecond float64
	// QuietFirst and QuietMax are the first and the longest pause between
	// heartbeats to a host from which nothing new comes.
	QuietFirst, QuietMax time.Duration
	// SuspectPause is the pause before the probe of a suspect.
	SuspectPause time.Duration
	// SilentFirst and SilentMax are the first and the longest pause between
	// probes of a silent host.
	SilentFirst, SilentMax time.Duration
	// RemoveAfter is how long a host is silent before it can be removed.
	RemoveAfter time.Duration
}

// Defaults of the settings.
const (
	DefaultSubsetSize     = 32
	DefaultBytesPerSecond = 1750
	DefaultQuietFirst     = 5 * time.Second
	DefaultQuietMax       = 20 * time.Second
	DefaultSuspectPause   = 300 * time.Millisecond
	DefaultSilentFirst    = time.Second
	DefaultSilentMax      = 30 * time.Second
	DefaultRemoveAfter    = 15 * time.Second
)

// Fixed bounds of the view.
const (
	// removeAbsences is how many reads of the host list in a row must lack a
	// host before it can be removed.
	removeAbsences = 2
	// firstBeatBytes is the size of a heartbeat that is reckoned with before
	// one was measured.
	firstBeatBytes = 1200
	// bytesBurst is how many seconds of the byte rate may be sent at once.
	bytesBurst = 4
	// domainCanaries is how many hosts of a silent failure domain are probed
	// while the others wait.
	domainCanaries = 2
	// canaryTurn is how long a host stays a canary.
	canaryTurn = time.Minute
	// returnSpread is the time over which the hosts of a failure domain that
	// comes back are probed.
	returnSpread = 5 * time.Second
	// pausedAfter is a pause of this process itself after which silence means
	// nothing.
	pausedAfter = 3 * time.Second
	// resultWait is how long an answer to a heartbeat is waited for before
	// the next one may be sent.
	resultWait = 5 * time.Second
)

func (s *Settings) setDefaults() {
	setDefault(&s.SubsetSize, DefaultSubsetSize)
	setDefault(&s.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&s.QuietFirst, DefaultQuietFirst)
	setDefault(&s.QuietMax, DefaultQuietMax)
	setDefault(&s.SuspectPause, DefaultSuspectPause)
	setDefault(&s.SilentFirst, DefaultSilentFirst)
	setDefault(&s.SilentMax, DefaultSilentMax)
	setDefault(&s.RemoveAfter, DefaultRemoveAfter)
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
