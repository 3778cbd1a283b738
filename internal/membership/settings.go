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
	// MinHeartbeatInterval and MaxHeartbeatInterval are the first and the longest pause between
	// heartbeats to a host from which nothing new comes.
	MinHeartbeatInterval, MaxHeartbeatInterval time.Duration
	// SuspectProbeDelay is the pause before the probe of a suspect.
	SuspectProbeDelay time.Duration
	// MinSilentBackoff and MaxSilentBackoff are the first and the longest pause between
	// probes of a silent host.
	MinSilentBackoff, MaxSilentBackoff time.Duration
	// RemoveAfter is how long a host is silent before it can be removed.
	RemoveAfter time.Duration
}

// Defaults of the settings.
const (
	DefaultSubsetSize     = 32
	DefaultBytesPerSecond = 1750
	DefaultMinHeartbeatInterval     = 5 * time.Second
	DefaultMaxHeartbeatInterval       = 20 * time.Second
	DefaultSuspectProbeDelay   = 300 * time.Millisecond
	DefaultMinSilentBackoff    = time.Second
	DefaultMaxSilentBackoff      = 30 * time.Second
	DefaultRemoveAfter    = 15 * time.Second
)

// Fixed bounds of the view.
const (
	// minAbsences is how many reads of the host list in a row must lack a
	// host before it can be removed.
	minAbsences = 2
	// initialHeartbeatBytes is the size of a heartbeat that is reckoned with before
	// one was measured.
	initialHeartbeatBytes = 1200
	// burstSeconds is how many seconds of the byte rate may be sent at once.
	burstSeconds = 4
	// canariesPerDomain is how many hosts of a silent failure domain are probed
	// while the others wait.
	canariesPerDomain = 2
	// canaryRotation is how long a host stays a canary.
	canaryRotation = time.Minute
	// recoverySpread is the time over which the hosts of a failure domain that
	// comes back are probed.
	recoverySpread = 5 * time.Second
	// maxWakeDelay is a pause of this process itself after which silence means
	// nothing.
	maxWakeDelay = 3 * time.Second
	// responseTimeout is how long an answer to a heartbeat is waited for before
	// the next one may be sent.
	responseTimeout = 5 * time.Second
)

func (s *Settings) setDefaults() {
	setDefault(&s.SubsetSize, DefaultSubsetSize)
	setDefault(&s.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&s.MinHeartbeatInterval, DefaultMinHeartbeatInterval)
	setDefault(&s.MaxHeartbeatInterval, DefaultMaxHeartbeatInterval)
	setDefault(&s.SuspectProbeDelay, DefaultSuspectProbeDelay)
	setDefault(&s.MinSilentBackoff, DefaultMinSilentBackoff)
	setDefault(&s.MaxSilentBackoff, DefaultMaxSilentBackoff)
	setDefault(&s.RemoveAfter, DefaultRemoveAfter)
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
