package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/holding"
)

// checker checks decoded settings and adds faults to the decoder's.
type checker struct {
	*decoder
	s *Settings
}

// minSecretLength is the least length of a session secret, in characters.
const minSecretLength = 32

// longestRequest bounds timeouts.maxRequest. Agents keep the record of an
// attempt for as long, so that a late copy of it is never run.
const longestRequest = 10 * time.Minute

var (
	nameRE    = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	keyNameRE = regexp.MustCompile(`^[a-z0-9-]{1,16}$`)
	keyHashRE = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	levels    = []string{"debug", "info", "warn", "error"}
)

func check(s *Settings, d *decoder) {
	c := &checker{decoder: d, s: s}
	c.identity()
	c.caller()
	c.link()
	c.admin()
	c.platform()
	for i, p := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), p)
	}
	c.sessionKeys()
	c.limits()
	c.timeouts()
	if !slices.Contains(levels, s.Log.Level) {
		c.add("log.level", "must be debug, info, warn or error")
	}
}

func (c *checker) add(field, reason string) { c.faultAt(field, reason, "") }

func (c *checker) identity() {
	if !nameRE.MatchString(c.s.Name) {
		c.add("name", "must be 1 to 63 of a-z, 0-9, '.', '_', '-' and start with a letter or digit")
	}
	if !nameRE.MatchString(c.s.Domain) {
		c.add("domain", "must be 1 to 63 of a-z, 0-9, '.', '_', '-' and start with a letter or digit")
	}
	if c.s.Region != "" && !nameRE.MatchString(c.s.Region) {
		c.add("region", "must be 1 to 63 of a-z, 0-9, '.', '_', '-' and start with a letter or digit")
	}
}

// address checks IP:port and returns it; ok is false after a fault.
func (c *checker) address(field, addr string) (netip.AddrPort, bool) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		c.add(field, fmt.Sprintf("must be IP:port with an IP number, not %q", addr))
		return ap, false
	}
	return ap, true
}

func (c *checker) caller() {
	if c.s.Role == RoleAgent {
		if c.s.Caller.Listen != "" {
			c.add("caller.listen", "an agent takes no callers")
		}
		return
	}
	addr, ok := c.address("caller.listen", c.s.Caller.Listen)
	t := c.s.Caller.TLS
	if t.Enabled() && (t.CertFile == "" || t.KeyFile == "") {
		c.add("caller.tls", "needs both certFile and keyFile")
	}
	if ok && !addr.Addr().IsLoopback() && !t.Enabled() {
		c.add("caller.tls", "is needed when the address is not loopback")
	}
}

func (c *checker) link() {
	addr, ok := c.address("link.listen", c.s.Link.Listen)
	if c.s.Link.Advertise != "" {
		c.address("link.advertise", c.s.Link.Advertise)
	} else if ok && addr.Addr().IsUnspecified() {
		c.add("link.advertise", "is needed when the listen address names no host")
	}
	t := c.s.Link.TLS
	if t.Enabled() && (t.CertFile == "" || t.KeyFile == "" || t.CAFile == "") {
		c.add("link.tls", "needs certFile, keyFile and caFile")
	}
	if ok && !addr.Addr().IsLoopback() && !t.Enabled() {
		c.add("link.tls", "is needed when the address is not loopback")
	}
}

func (c *checker) admin() {
	a := c.s.Admin
	if a.KeyHash != "" && !keyHashRE.MatchString(a.KeyHash) {
		c.add("admin.keyHash", "must be sha256: and 64 hex digits; a key itself is never stored")
	}
	if a.Listen == "" {
		return
	}
	addr, ok := c.address("admin.listen", a.Listen)
	if ok && !addr.Addr().IsLoopback() && a.KeyHash == "" {
		c.add("admin.keyHash", "is needed when the address is not loopback")
	}
}

func (c *checker) platform() {
	if c.s.Role == RoleDev {
		return
	}
	p := c.s.Platform
	c.serviceURL("platform.table", p.Table)
	c.serviceURL("platform.objects", p.Objects)
	c.serviceURL("platform.hosts", p.Hosts)
	c.serviceURL("platform.ratings", p.Ratings)
	c.serviceURL("platform.weights", p.Weights)
}

func (c *checker) serviceURL(field, raw string) {
	u, err := url.Parse(raw)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && (u.Path == "" || u.Path == "/") {
		if _, err := netip.ParseAddrPort(u.Host); err == nil {
			return
		}
	}
	c.add(field, fmt.Sprintf("must be http://IP:port or https://IP:port, not %q", raw))
}

func (c *checker) sessionKeys() {
	if c.s.Role == RoleEntry && len(c.s.SessionKeys) == 0 {
		c.add("sessionKeys", "an entry needs at least one session key")
	}
	seen := map[string]bool{}
	for i, k := range c.s.SessionKeys {
		field := fmt.Sprintf("sessionKeys[%d]", i)
		if !keyNameRE.MatchString(k.Name) {
			c.add(field+".name", "must be 1 to 16 of a-z, 0-9, '-'")
		}
		if seen[k.Name] {
			c.add(field+".name", "is the name of an earlier key")
		}
		seen[k.Name] = true
		if len(k.Secret) < minSecretLength {
			c.add(field+".secret", fmt.Sprintf("must have at least %d characters", minSecretLength))
		}
		if k.Secret == exampleSecret && !c.callersOnLoopback() {
			c.add(field+".secret", "is the example's, which everyone can read; it is taken on loopback only")
		}
	}
}

func (c *checker) callersOnLoopback() bool {
	addr, err := netip.ParseAddrPort(c.s.Caller.Listen)
	return err == nil && addr.Addr().IsLoopback()
}

func (c *checker) limits() {
	l := c.s.Limits
	c.positive("limits.bodyBytes", l.BodyBytes)
	if l.BodyMemory < l.BodyBytes {
		c.add("limits.bodyMemory", "must not be less than bodyBytes")
	}
	c.positive("limits.answerBytes", l.AnswerBytes)
	c.positive("limits.headerBytes", int64(l.HeaderBytes))
	c.positive("limits.nestingDepth", int64(l.NestingDepth))
	c.positive("limits.connections", int64(l.Connections))
	c.positive("limits.inFlight", int64(l.InFlight))
	c.positive("limits.entries", int64(l.Entries))
	c.positive("limits.heapFloor", l.HeapFloor)
	if l.Memory < holding.MinMemory {
		c.add("limits.memory", fmt.Sprintf("must be at least %d", holding.MinMemory))
	}
	if l.Descriptors != 0 && l.Descriptors < holding.MinDescriptors {
		c.add("limits.descriptors", fmt.Sprintf("must be 0 or at least %d", holding.MinDescriptors))
	}
	if l.QueueLength < 0 {
		c.add("limits.queueLength", "must not be negative")
	}
}

func (c *checker) positive(field string, n int64) {
	if n <= 0 {
		c.add(field, "must be greater than 0")
	}
}

func (c *checker) timeouts() {
	t := c.s.Timeouts
	for _, f := range []struct {
		name string
		d    time.Duration
	}{
		{"readHeader", t.ReadHeader}, {"readBody", t.ReadBody}, {"idle", t.Idle},
		{"write", t.Write}, {"request", t.Request}, {"maxRequest", t.MaxRequest},
		{"connect", t.Connect}, {"platform", t.Platform}, {"heartbeat", t.Heartbeat},
		{"drain", t.Drain}, {"session", t.Session},
	} {
		c.positive("timeouts."+f.name, int64(f.d))
	}
	if t.MaxRequest > longestRequest {
		c.add("timeouts.maxRequest", fmt.Sprintf("must not be longer than %v, for which agents keep records of attempts", longestRequest))
	}
	if t.Request > t.MaxRequest {
		c.add("timeouts.request", "must not be longer than maxRequest")
	}
}
