// Package settings reads the settings of a daemon from JSON with comments and
// checks them before anything starts. Every fault is reported at once, with
// its file, line and column.
//
// Addresses are IP numbers with a port, never host names, so that a daemon
// depends on no name service.
package settings

import (
	"os"
	"slices"
	"strings"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Role is what a daemon does.
type Role string

// The roles of a daemon.
const (
	// RoleEntry takes callers' requests and chooses upstreams.
	RoleEntry Role = "entry"
	// RoleAgent stands beside the upstreams of one host.
	RoleAgent Role = "agent"
	// RoleDev runs all roles with stand-ins in one process.
	RoleDev Role = "dev"
)

// Roles lists every role.
var Roles = []Role{RoleEntry, RoleAgent, RoleDev}

// Settings are the settings of one daemon. The doc and unit tags are printed
// by Example.
type Settings struct {
	Role        Role         `json:"role" doc:"What the daemon does: entry, agent or dev."`
	Name        string       `json:"name" doc:"Name of this host, unique among all daemons."`
	Domain      string       `json:"domain" doc:"Failure domain of this host."`
	Region      string       `json:"region" doc:"Region that groups failure domains. Empty means one region."`
	Caller      Caller       `json:"caller" doc:"Listener for callers. Entries only."`
	Link        Link         `json:"link" doc:"Listener for other daemons."`
	Admin       Admin        `json:"admin" doc:"Listener for operators: health, metrics, dump, log level, drain."`
	Platform    Platform     `json:"platform" doc:"The platform's services, as http://IP:port."`
	Peers       []string     `json:"peers" doc:"Daemons asked for the configuration while the platform is away, as IP:port."`
	SessionKeys []SessionKey `json:"sessionKeys" doc:"Keys of session tokens. The first signs, all verify. Entries only."`
	Limits      Limits       `json:"limits" doc:"Bounds on what one daemon takes."`
	Timeouts    Timeouts     `json:"timeouts" doc:"Bounds on time, such as \"3s\" or \"250ms\"."`
	Log         Log          `json:"log" doc:"Logging."`
}

// Caller is the listener for callers.
type Caller struct {
	Listen string    `json:"listen" doc:"Address, IP:port; port 0 picks a free one."`
	TLS    CallerTLS `json:"tls" doc:"Certificate shown to callers. Needed when the address is not loopback."`
}

// CallerTLS names the files of the callers' certificate. Both are read again
// when they change.
type CallerTLS struct {
	CertFile string `json:"certFile" doc:"PEM file of the certificate chain."`
	KeyFile  string `json:"keyFile" doc:"PEM file of the private key."`
}

// Enabled reports whether a certificate is set.
func (t CallerTLS) Enabled() bool { return t.CertFile != "" || t.KeyFile != "" }

// Link is the listener for other daemons.
type Link struct {
	Listen    string  `json:"listen" doc:"Address, IP:port."`
	Advertise string  `json:"advertise" doc:"Address that other daemons use. Empty means the listen address."`
	TLS       LinkTLS `json:"tls" doc:"Mutual TLS between daemons. Needed when the address is not loopback."`
}

// Address returns what other daemons are told to use.
func (l Link) Address() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}

// LinkTLS names the files of mutual TLS between daemons.
type LinkTLS struct {
	CertFile string `json:"certFile" doc:"PEM file of this daemon's certificate chain."`
	KeyFile  string `json:"keyFile" doc:"PEM file of this daemon's private key."`
	CAFile   string `json:"caFile" doc:"PEM file of the authority that signs every daemon's certificate."`
}

// Enabled reports whether any file is set.
func (t LinkTLS) Enabled() bool { return t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" }

// Admin is the listener for operators.
type Admin struct {
	Listen  string `json:"listen" doc:"Address, IP:port. Empty turns the listener off."`
	KeyHash string `json:"keyHash" doc:"Hash of the admin key, sha256:HEX (tarragonctl keys hash). Needed when the address is not loopback."`
}

// Platform locates the platform's services.
type Platform struct {
	Table   string `json:"table" doc:"Transactional table service."`
	Objects string `json:"objects" doc:"Object store."`
	Hosts   string `json:"hosts" doc:"List of live and leaving hosts."`
	Ratings string `json:"ratings" doc:"Answer-rating service."`
	Weights string `json:"weights" doc:"Weight store."`
}

// SessionKey is one named key of session tokens.
type SessionKey struct {
	Name   string `json:"name" doc:"Name carried by each token, 1 to 16 of a-z, 0-9, '-'."`
	Secret string `json:"secret" doc:"Secret, at least 32 characters."`
}

// Limits bound what one daemon takes.
type Limits struct {
	BodyBytes    int64 `json:"bodyBytes" doc:"Largest request body." unit:"bytes"`
	BodyMemory   int64 `json:"bodyMemory" doc:"All request bodies held at a time." unit:"bytes"`
	AnswerBytes  int64 `json:"answerBytes" doc:"Largest unary answer." unit:"bytes"`
	HeaderBytes  int   `json:"headerBytes" doc:"Largest request header block." unit:"bytes"`
	NestingDepth int   `json:"nestingDepth" doc:"Deepest nesting of a JSON body." unit:"levels"`
	Connections  int   `json:"connections" doc:"Open caller connections." unit:"connections"`
	Memory       int64 `json:"memory" doc:"Memory that the process may use. What is held for callers and other daemons is admitted against it." unit:"bytes"`
	Descriptors  int   `json:"descriptors" doc:"Descriptors that the process may have. 0 takes the limit of the process." unit:"descriptors"`
	InFlight     int   `json:"inFlight" doc:"Requests that run at a time." unit:"requests"`
	Entries      int   `json:"entries" doc:"Number of entries behind the balancer; each applies its share of an organisation's limits. Entries only." unit:"entries"`
	QueueLength  int   `json:"queueLength" doc:"Requests that wait at a time." unit:"requests"`
	HeapFloor    int64 `json:"heapFloor" doc:"Heap below which no garbage is collected; above it the collector runs when the heap has doubled." unit:"bytes"`
}

// Timeouts bound time.
type Timeouts struct {
	ReadHeader time.Duration `json:"readHeader" doc:"Reading of a request's headers."`
	ReadBody   time.Duration `json:"readBody" doc:"Reading of a request's body."`
	Idle       time.Duration `json:"idle" doc:"Life of an idle caller connection."`
	Write      time.Duration `json:"write" doc:"One write of an answer to a slow caller."`
	Request    time.Duration `json:"request" doc:"A request whose caller and rule name no deadline."`
	MaxRequest time.Duration `json:"maxRequest" doc:"Longest deadline a caller may ask for."`
	Connect    time.Duration `json:"connect" doc:"A connection to a daemon, an upstream or the platform."`
	Platform   time.Duration `json:"platform" doc:"One call of a platform service."`
	Heartbeat  time.Duration `json:"heartbeat" doc:"Between heartbeats on an open stream."`
	Drain      time.Duration `json:"drain" doc:"Finishing running requests at a planned stop."`
	Session    time.Duration `json:"session" doc:"Life of a session token."`
}

// Log sets what is logged.
type Log struct {
	Level string `json:"level" doc:"debug, info, warn or error. Changeable at run time through the admin listener."`
}

// Load reads and checks a file. A fault is a *result.Error with the code
// BadSettings whose message lists every fault, one on each line.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.Wrap(err, result.ReadFailed, "settings cannot be read")
	}
	s, faults := Parse(path, data)
	if len(faults) > 0 {
		return Settings{}, faultError(faults)
	}
	return s, nil
}

func faultError(faults []catalog.Fault) error {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return result.New(result.BadSettings, "%d faults in the settings:\n%s", len(faults), strings.Join(lines, "\n"))
}

// Parse reads and checks settings. Fields that are not written keep the
// defaults of the role. All faults are returned, in order of position.
func Parse(file string, data []byte) (Settings, []catalog.Fault) {
	d, root, fault := newDecoder(file, data)
	if fault != nil {
		return Settings{}, []catalog.Fault{*fault}
	}
	role := d.role(root)
	s := Default(role)
	d.decode(root, &s)
	s.Role = role
	if !slices.Contains(Roles, role) {
		d.faultAt("role", "must be entry, agent or dev", catalog.Nearest(string(role), roleNames()))
	} else {
		check(&s, d)
	}
	catalog.SortFaults(d.faults)
	return s, d.faults
}

func roleNames() []string {
	out := make([]string, len(Roles))
	for i, r := range Roles {
		out[i] = string(r)
	}
	return out
}
