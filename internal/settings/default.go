package settings

import "time"

// Default returns the settings of a role on loopback. An entry's or agent's
// defaults pass the check but for the session key, which has no default.
func Default(role Role) Settings {
	s := Settings{
		Role:   role,
		Name:   string(role) + "-1",
		Domain: "local",
		Link:   Link{Listen: "127.0.0.1:7100"},
		Admin:  Admin{Listen: "127.0.0.1:7200"},
		Platform: Platform{
			Table:   "http://127.0.0.1:7301",
			Objects: "http://127.0.0.1:7302",
			Hosts:   "http://127.0.0.1:7303",
			Ratings: "http://127.0.0.1:7304",
			Weights: "http://127.0.0.1:7305",
		},
		Limits:   defaultLimits,
		Timeouts: defaultTimeouts,
		Log:      Log{Level: "info"},
	}
	switch role {
	case RoleEntry:
		s.Caller.Listen = "127.0.0.1:8080"
	case RoleDev:
		s.Caller.Listen = "127.0.0.1:0"
		s.Admin.Listen = "127.0.0.1:0"
		s.Link.Listen = "127.0.0.1:0"
		s.Platform = Platform{}
	case RoleAgent:
		s.Link.Listen = "127.0.0.1:7101"
		s.Admin.Listen = "127.0.0.1:7201"
	}
	return s
}

var defaultLimits = Limits{
	BodyBytes:    8 << 20,
	BodyMemory:   512 << 20,
	AnswerBytes:  32 << 20,
	HeaderBytes:  32 << 10,
	NestingDepth: 64,
	Connections:  10_000,
	Memory:       2 << 30,
	InFlight:     4_096,
	QueueLength:  1_024,
	Entries:      1,
	HeapFloor:    80 << 20,
}

var defaultTimeouts = Timeouts{
	ReadHeader: 5 * time.Second,
	ReadBody:   30 * time.Second,
	Idle:       2 * time.Minute,
	Write:      15 * time.Second,
	Request:    60 * time.Second,
	MaxRequest: 10 * time.Minute,
	Connect:    time.Second,
	Platform:   2 * time.Second,
	Heartbeat:  time.Second,
	Drain:      5 * time.Minute,
	Session:    24 * time.Hour,
}
