package settings

import (
	"net/netip"
	"os"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Gateway are the settings of a gateway on the users' platform. The platform
// renders them from deploy/gateway.json.tmpl.
type Gateway struct {
	Name   string `json:"name" doc:"Name of this host, unique among all daemons."`
	Domain string `json:"domain" doc:"Failure domain of this host."`
	// Listen takes callers, ReadyListen the platform's questions for readiness
	// and AdminListen operators; the last may be empty.
	Listen      string `json:"listen"`
	ReadyListen string `json:"readyListen"`
	AdminListen string `json:"adminListen"`
	// PeerListen takes datagrams of other gateways; empty keeps the gateway
	// to itself.
	PeerListen string `json:"peerListen"`
	Store      string `json:"store" doc:"Address of the platform's store."`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `json:"memoryMb"`
	// MaxDescriptors is the number of descriptors that the process may have; zero takes the
	// limit of the process.
	MaxDescriptors int `json:"maxDescriptors"`
	// HeldMB bounds what is held for callers and operators, in megabytes, and
	// CallerConnections the callers' connections. Zero derives them from the memory and the
	// descriptors (internal/holding).
	HeldMB            int `json:"heldMb"`
	CallerConnections int `json:"callerConnections"`
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration `json:"grace"`
	// RevokeWithin is the time after which a key that was taken away must be
	// refused everywhere.
	RevokeWithin time.Duration `json:"revokeWithin"`
	// DrainWithin is the time after which a leaving upstream must get nothing
	// new, ConfigWithin that after which a configuration must be in force.
	DrainWithin  time.Duration `json:"drainWithin"`
	ConfigWithin time.Duration `json:"configWithin"`
	// RepeatRatio, RepeatSlack and RepeatWindow bound the requests that are
	// sent more than once, over all gateways.
	RepeatRatio  float64       `json:"repeatRatio"`
	RepeatSlack  float64       `json:"repeatSlack"`
	RepeatWindow time.Duration `json:"repeatWindow"`
	// ExposeShare is the part of a service's requests that a bad new version
	// may get.
	ExposeShare float64 `json:"exposeShare"`
	// FairShares divides the capacity of plain services among organisations while
	// demand nears it (internal/fairshare).
	FairShares bool `json:"fairShares"`
	// UpstreamSpeeds learns which engines are faster than others for good
	// (placement.SteadySpeed).
	UpstreamSpeeds bool `json:"upstreamSpeeds"`
	// EngineMemory places generations by what running ones hold in the memory of engines,
	// where the configuration names its size (internal/capacity).
	EngineMemory bool `json:"engineMemory"`
	// CrossDomainSecondsPerGB is how many seconds of callers' waiting a gigabyte between
	// failure domains must save; CrossDomainBytesPerS bounds the bytes a second between
	// them over all gateways. Zero switches each off (internal/crossing).
	CrossDomainSecondsPerGB float64 `json:"crossDomainSecondsPerGB"`
	CrossDomainBytesPerS    float64 `json:"crossDomainBytesPerS"`
}

// LoadGateway reads and checks the settings of a gateway. The error is a
// *result.Error that names every fault with its line.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, result.Wrap(err, result.BadSettings, "the settings cannot be read")
	}
	return ParseGateway(path, data)
}

// ParseGateway checks settings that were read from the named file.
func ParseGateway(file string, data []byte) (Gateway, error) {
	var s Gateway
	d, root, fault := newDecoder(file, data)
	if fault != nil {
		return s, faultError([]catalog.Fault{*fault})
	}
	d.decode(root, &s)
	d.checkGateway(&s)
	if len(d.faults) > 0 {
		catalog.SortFaults(d.faults)
		return s, faultError(d.faults)
	}
	return s, nil
}

func (d *decoder) checkGateway(s *Gateway) {
	if !nameRE.MatchString(s.Name) {
		d.faultAt("name", "must be 1 to 63 of a-z, 0-9, '.', '_', '-' and start with a letter or digit", "")
	}
	if s.Domain == "" {
		d.faultAt("domain", "must not be empty", "")
	}
	for _, a := range []struct {
		field, value string
		optional     bool
	}{
		{"listen", s.Listen, false}, {"readyListen", s.ReadyListen, false},
		{"adminListen", s.AdminListen, true}, {"peerListen", s.PeerListen, true}, {"store", s.Store, false},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil && (a.value != "" || !a.optional) {
			d.faultAt(a.field, "must be IP:port with an IP number", "")
		}
	}
	if s.MemoryMB <= 0 {
		d.faultAt("memoryMb", "must be above 0", "")
	}
	d.checkHolding(s)
	for _, t := range []struct {
		field string
		value time.Duration
	}{{"grace", s.Grace}, {"revokeWithin", s.RevokeWithin}, {"drainWithin", s.DrainWithin},
		{"configWithin", s.ConfigWithin}, {"repeatWindow", s.RepeatWindow}} {
		if t.value <= 0 {
			d.faultAt(t.field, "must be above 0s", "")
		}
	}
	if s.ExposeShare <= 0 || s.ExposeShare > 1 {
		d.faultAt("exposeShare", "must be above 0 and at most 1", "")
	}
	if s.CrossDomainSecondsPerGB < 0 || s.CrossDomainBytesPerS < 0 {
		d.faultAt("crossDomainSecondsPerGB", "the terms for traffic between failure domains must not be negative", "")
	}
	if s.RepeatRatio < 0 || s.RepeatSlack < 0 {
		d.faultAt("repeatRatio", "the bounds on repeats must not be negative", "")
	}
}

// Megabyte is the unit of MemoryMB and HeldMB, in bytes.
const Megabyte = 1_000_000

// checkHolding checks the limits on what is held for others. The host's own limits are taken
// as the platform names them, since a gateway that does not start serves nobody.
func (d *decoder) checkHolding(s *Gateway) {
	if s.MaxDescriptors < 0 {
		d.faultAt("maxDescriptors", "must be 0 or above", "")
	}
	if s.HeldMB < 0 || s.HeldMB > 0 && s.HeldMB >= s.MemoryMB {
		d.faultAt("heldMb", "must be 0 or above, and less than memoryMb", "")
	}
	if s.CallerConnections < 0 || s.MaxDescriptors > 0 && s.CallerConnections > s.MaxDescriptors {
		d.faultAt("callerConnections", "must be 0 or above, and at most maxDescriptors", "")
	}
}
