package daemon

import (
	"net"
	"net/http"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/tlsfiles"
)

// linkListener returns the listener for other daemons.
func linkListener(o Options) (net.Listener, error) {
	if o.Link != nil {
		return o.Link, nil
	}
	l, err := net.Listen("tcp", o.Settings.Link.Listen)
	if err != nil {
		return nil, result.Wrap(err, result.BadSettings, "the link listener cannot be opened")
	}
	return l, nil
}

// loadTLS reads both ends of mutual TLS between daemons, when it is on.
func (d *Daemon) loadTLS() (err error) {
	files := d.settings.Link.TLS
	if !files.Enabled() {
		return nil
	}
	d.serverTLS, d.clientTLS, err = tlsfiles.Mutual(files.CertFile, files.KeyFile, files.CAFile)
	return err
}

// dial returns connections to other daemons, for pulling configurations and what
// they have learned.
func (d *Daemon) dial() publish.Dial {
	transport := answers.NewTransport(&http.Transport{
		DialContext:       (&net.Dialer{Timeout: d.settings.Timeouts.Connect}).DialContext,
		TLSClientConfig:   d.clientTLS,
		DisableKeepAlives: true,
	})
	httpClient := &http.Client{Transport: transport, Timeout: d.settings.Timeouts.Platform}
	scheme := "http://"
	if d.clientTLS != nil {
		scheme = "https://"
	}
	return func(address string) (connect.HTTPClient, string) { return httpClient, scheme + address }
}

// maxPeers bounds the daemons asked for the configuration.
const maxPeers = 8

// peerAddresses lists daemons to ask for the configuration: those in the
// settings, and some agents of the configuration in force.
func (d *Daemon) peerAddresses() []string {
	out := append([]string(nil), d.settings.Peers...)
	set, _ := d.follower.Set()
	if set == nil {
		return out
	}
	seen := map[string]bool{d.settings.Link.Address(): true}
	for _, u := range set.Upstreams {
		if len(out) >= maxPeers {
			break
		}
		if !seen[u.Agent] {
			seen[u.Agent] = true
			out = append(out, u.Agent)
		}
	}
	return out
}

// linkClient returns a client of agents.
func (d *Daemon) linkClient() *link.Client {
	return link.NewClient(link.Options{
		Sender:      d.settings.Name,
		Address:     d.settings.Link.Address(),
		Incarnation: d.incarnation,
		Revision:    d.follower.Revision,
		TLS:         d.clientTLS,
		Timing:      d.timing(),
	})
}

// timing returns the pace of the link, with the heartbeat of the settings.
func (d *Daemon) timing() link.Timing {
	t := link.DefaultTiming()
	if d.settings.Timeouts.Heartbeat > 0 {
		t.BeatEvery = d.settings.Timeouts.Heartbeat
	}
	return t
}
