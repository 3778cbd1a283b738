package callerapi

import (
	"net/http"

	"tarragonbay.example/tarragonbay/internal/httpserver"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// Listen opens the caller listener of the settings; nothing is served before
// its Run. The error is a *result.Error when the certificate cannot be used.
func Listen(s settings.Settings, a httpserver.Admission, handler http.Handler) (*httpserver.Server, error) {
	return httpserver.Listen(serverConfig(s, a), handler)
}

func serverConfig(s settings.Settings, a httpserver.Admission) httpserver.Config {
	return httpserver.Config{
		Admission: a,
		Name:      "callers",
		Address:   s.Caller.Listen,
		TLS:       s.Caller.TLS,
		// The handler refuses headers over the limit with a numbered error;
		// this bound only stops those far beyond it.
		HeaderBytes: 2 * s.Limits.HeaderBytes,
		ReadHeader:  s.Timeouts.ReadHeader,
		Idle:        s.Timeouts.Idle,
		Drain:       s.Timeouts.Drain,
	}
}
