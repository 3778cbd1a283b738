package membership

import "time"

// Settings configures a View. Zero fields take the defaults.
type Settings struct {
	// Entry is the name of this daemon; it determines the subset.
	Entry string
	// SubsetSize bounds the hosts that get heartbeats.
	SubsetSize int
	// BytesPerSecond bounds the heartbeats, both ways.
	BytesPerSecond float64
	// MinHeartbeatInterval and MaxHeartbeatInterval bound the interval between
	// heartbeats; it doubles while the responses of a host do not change.
	MinHeartbeatInterval, MaxHeartbeatInterval time.Duration
	// SuspectProbeDelay is the delay before the probe of a suspect.
	SuspectProbeDelay time.Duration
	// MinSilentBackoff and MaxSilentBackoff bound the backoff between probes of
	// a silent host.
	MinSilentBackoff, MaxSilentBackoff time.Duration
	// RemoveAfter is how long a host is silent before it can be removed.
	RemoveAfter time.Duration
}

// Defaults of the settings.
const (
	DefaultSubsetSize           = 32
	DefaultBytesPerSecond       = 1750
	DefaultMinHeartbeatInterval = 5 * time.Second
	DefaultMaxHeartbeatInterval = 20 * time.Second
	DefaultSuspectProbeDelay    = 300 * time.Millisecond
	DefaultMinSilentBackoff     = time.Second
	DefaultMaxSilentBackoff     = 30 * time.Second
	DefaultRemoveAfter          = 15 * time.Second
)

// Fixed bounds of the view.
const (
	// minAbsences is how many consecutive reads of the host list must lack a host
	// before it can be removed.
	minAbsences = 2
	// initialHeartbeatBytes is the estimated size of a heartbeat before the
	// first one completes.
	initialHeartbeatBytes = 1200
	// burstSeconds is the bucket size in seconds of the byte rate.
	burstSeconds = 4
	// canariesPerDomain is how many hosts of a silent failure domain are probed
	// while the others wait.
	canariesPerDomain = 2
	// canaryRotation is how long a host stays a canary.
	canaryRotation = time.Minute
	// recoverySpread is the time over which the hosts of a failure domain that
	// comes back are probed.
	recoverySpread = 5 * time.Second
	// maxWakeDelay is how late Next may be called before this process counts as
	// paused and the silence of hosts starts anew.
	maxWakeDelay = 3 * time.Second
	// responseTimeout is how long a heartbeat waits for its response before the
	// next one may be sent.
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
