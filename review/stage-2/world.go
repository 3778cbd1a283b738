package main

import (
	"bufio"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed config.json
var configText string

//go:embed entry.json
var entryText string

//go:embed settings.json
var settingsText string

// world is a small deployment on loopback.
type world struct {
	began    time.Time
	record   *os.File
	folder   string
	store    *store
	storeAt  string
	mu       sync.Mutex
	replicas map[string]*replica
	gateways []*gateway
	started  int
	// failing is the time from which bad versions fail; they don't while it is zero.
	failing time.Duration
	// heads are told of each head that a replica sends: request and replica.
	heads chan [2]string
	// ran counts the runs by request, arrived holds what reached plain replicas.
	ran     map[string]int
	arrived []arrival
}

// newWorld opens the record and starts the store with the configuration.
func newWorld(folder string) *world {
	w := &world{began: time.Now(), folder: folder, replicas: map[string]*replica{}, heads: make(chan [2]string, 1000), ran: map[string]int{}}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		cannotRun(err)
	}
	w.store, w.storeAt = startStore()
	w.publish(3, "desk")
	return w
}

// consumerKey is the key of all requests.
const consumerKey = "review-key"

// publish publishes a configuration in which a service has the route /look/.
func (w *world) publish(version int, look string) {
	text := strings.NewReplacer("{version}", fmt.Sprint(version), "{look}", look, "{key}", consumerKey).Replace(configText)
	w.store.put("op", "config", []byte(text))
	w.note("operator: version %d is acked, /look/ goes to %s", version, look)
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// replica is a replica's process and its entry.
type replica struct {
	id, service, version, address, state, zone string
	sequence                                   int
	born                                       int64
	cmd                                        *exec.Cmd
	stop                                       func()
	crashed                                    bool
}

// firstZone is the zone of the gateways, and of replicas unless another is named.
const firstZone = "zone-1"

// startReplica starts a replica's process and lists it.
func (w *world) startReplica(service string, args ...string) *replica {
	w.mu.Lock()
	w.started++
	r := &replica{id: fmt.Sprintf("i-%d", w.started), service: service, version: "v1", state: "ready", zone: firstZone, born: time.Now().UnixMilli()}
	w.mu.Unlock()
	own, err := os.Executable()
	if err != nil {
		cannotRun(err)
	}
	r.cmd = exec.Command(own, append([]string{"replica", r.id}, args...)...)
	r.cmd.Stderr = os.Stderr
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		cannotRun(err)
	}
	if err := r.cmd.Start(); err != nil {
		cannotRun(err)
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		cannotRun("a replica does not listen")
	}
	r.address = strings.TrimPrefix(lines.Text(), "listens ")
	go func() {
		for lines.Scan() {
			f := strings.Fields(lines.Text())
			w.note("replica %s", lines.Text())
			switch f[0] {
			case "head":
				w.heads <- [2]string{f[1], f[2]}
			case "runs":
				w.mu.Lock()
				w.ran[f[1]]++
				w.mu.Unlock()
			}
		}
		_ = r.cmd.Wait() // it was killed
	}()
	w.mu.Lock()
	w.replicas[r.id] = r
	w.mu.Unlock()
	w.beat(r)
	w.note("replica %s starts", r.id)
	return r
}

// beat writes a replica's entry.
func (w *world) beat(r *replica) {
	w.mu.Lock()
	r.sequence++
	text := strings.NewReplacer("{service}", r.service, "{address}", r.address, "{slots}", "48", "{version}", r.version, "{zone}", r.zone, "{state}", r.state,
		"{sequence}", fmt.Sprint(r.sequence), "{born}", fmt.Sprint(r.born)).Replace(entryText)
	w.mu.Unlock()
	w.store.put("servers", r.id, []byte(text))
}

// heartbeat is the pause between two writes of an entry; an entry lapses after three.
const heartbeat = 1200 * time.Millisecond

// beats keeps the entries of live replicas.
func (w *world) beats() {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		var live []*replica
		for _, r := range w.replicas {
			if !r.crashed {
				live = append(live, r)
			}
		}
		w.mu.Unlock()
		for _, r := range live {
			w.beat(r)
		}
	}
}

// crash kills a replica's process. Its entry lapses later.
func (w *world) crash(id string) {
	w.mu.Lock()
	r := w.replicas[id]
	r.crashed = true
	w.mu.Unlock()
	_ = r.cmd.Process.Kill() // it may have ended
	w.note("replica %s is killed", id)
	time.AfterFunc(3*heartbeat, func() { w.store.drop("servers", id) })
}

// gateway is a process of the project.
type gateway struct {
	name, listen, ready string
	// folder holds its settings and its log.
	folder string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// startGateway starts a gateway as the deploy file does and waits until it is ready. Another
// program may take one of its ports first; then it is started on others.
func (w *world) startGateway(program string) *gateway {
	for range 3 {
		if g := w.tryGateway(program); g != nil {
			return g
		}
	}
	w.end()
	cannotRun("no gateway keeps running")
	return nil
}

// tryGateway returns nil when the gateway ends before it is ready.
func (w *world) tryGateway(program string) *gateway {
	g := &gateway{name: fmt.Sprintf("edge-%d", len(w.gateways)+1), listen: freeAddress(), ready: freeAddress(), ended: make(chan struct{})}
	text := strings.NewReplacer("{name}", g.name, "{listen}", g.listen, "{ready}", g.ready, "{admin}", freeAddress(),
		"{peer}", freeAddress(), "{store}", w.storeAt).Replace(settingsText)
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun(err)
	}
	g.folder = folder
	file := filepath.Join(folder, g.name+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		cannotRun(err)
	}
	log, err := os.Create(filepath.Join(folder, g.name+".log"))
	if err != nil {
		cannotRun(err)
	}
	g.cmd = exec.Command(program, "gateway")
	g.cmd.Env = append(os.Environ(), name("settings")+"="+file)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		cannotRun(err)
	}
	go func() {
		_ = g.cmd.Wait() // stopped at the end
		close(g.ended)
	}()
	w.gateways = append(w.gateways, g)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		select {
		case <-g.ended:
			w.gateways = w.gateways[:len(w.gateways)-1]
			_ = os.RemoveAll(folder) // it is in a temporary folder
			return nil
		default:
		}
		resp, err := http.Get("http://" + g.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.note("gateway %s is ready", g.name)
			return g
		}
	}
	w.end()
	cannotRun("a gateway does not get ready")
	return nil
}

// end ends all processes that were started and removes their files.
func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill() // it may have ended
		}
	}
	for _, g := range w.gateways {
		_ = g.cmd.Process.Kill() // it may have ended
		<-g.ended
		_ = os.RemoveAll(g.folder) // it is in a temporary folder
	}
}

// answer is what a consumer gets.
type answer struct {
	status int
	sealed string
	body   string
	// whole is true when the answer looks complete.
	whole bool
	err   error
}

// ask sends one request on a connection of its own and reads the answer until it ends.
func (w *world) ask(g *gateway, text string, within time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", g.listen)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within)) // a closed connection fails below
	if _, err := io.WriteString(c, text); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if err == nil && !framed {
		err = errors.New("the answer has no length")
	}
	return answer{status: resp.StatusCode, sealed: resp.Header.Get(name("seal")), body: string(body), whole: err == nil, err: err}
}

// head returns the text of a request's head.
func head(method, path, request string, within time.Duration, fields map[string]string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: review.test\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, name("id"), request, name("key"), consumerKey, name("deadline"), within.Milliseconds())
	for k, v := range fields {
		text += k + ": " + v + "\r\n"
	}
	return text
}
