// Command stage plays the cases of a review: it starts the project's gateways as processes
// of their own, with stand-ins of the platform's store, of replicas and of consumers, all
// on loopback.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Stage is one play of a case.
type Stage struct {
	// trouble is false for a play without the disruption.
	trouble bool
	root    string
	tmp     string
	store   *Store
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	runs     []run
	gateways []*Gateway
	hosts    atomic.Uint32
}

// log writes a line to the record.
func (st *Stage) log(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	fmt.Fprintf(st.record, "%8.3f  %s\n", time.Since(st.began).Seconds(), fmt.Sprintf(format, args...))
}

// cannot ends the play because the case could not run.
func (st *Stage) cannot(format string, args ...any) {
	st.log("the case could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	st.end()
	os.Exit(failed)
}

// end ends all processes that the play started.
func (st *Stage) end() {
	st.mu.Lock()
	all := append([]*Gateway(nil), st.gateways...)
	st.mu.Unlock()
	for _, g := range all {
		g.kill()
	}
	_ = os.RemoveAll(st.tmp)
}

// freeHost returns a loopback IP of its own for a listener.
func (st *Stage) freeHost() string {
	n := st.hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, n/250, n%250+1)
}

// freeAddress returns IP:port of a loopback IP of its own, free for TCP and UDP.
func (st *Stage) freeAddress() string {
	for {
		ln, err := net.Listen("tcp", st.freeHost()+":0")
		if err != nil {
			st.cannot("find a free port: %v", err)
		}
		address := ln.Addr().String()
		udp, err := net.ListenPacket("udp4", address)
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			return address
		}
	}
}

func (st *Stage) addRun(r run) {
	st.log("run: request %s at %s (%s), %d bytes", r.id, r.replica, r.version, r.bodyBytes)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.runs = append(st.runs, r)
}

func (st *Stage) allRuns() []run {
	st.mu.Lock()
	defer st.mu.Unlock()
	return append([]run(nil), st.runs...)
}

// Gateway is one gateway process, which is started again when it ends, as the platform does.
type Gateway struct {
	stage               *Stage
	name                string
	listen, readyListen string
	settings            string
	memoryMB            int

	mu    sync.Mutex
	cmd   *exec.Cmd
	over  bool
	ended []string
}

// gatewaySettings are the settings of a gateway on an edge machine of khl-galley, under the
// names of deploy/gateway.json.tmpl.
func (st *Stage) gatewaySettings(g *Gateway, zone string) map[string]any {
	return map[string]any{
		"name": g.name, "domain": zone, "listen": g.listen, "readyListen": g.readyListen, "adminListen": "",
		"peerListen": st.freeAddress(), "store": st.store.address(), "memoryMb": g.memoryMB, "grace": "8s",
		"revokeWithin": "5000ms", "drainWithin": "2000ms", "configWithin": "2000ms", "repeatRatio": 0.9, "repeatSlack": 58,
		"repeatWindow": "10s", "exposeShare": 0.15, "fairShares": true, "upstreamSpeeds": true, "engineMemory": false,
		"crossDomainSecondsPerGB": 5000,
	}
}

// startGateway starts a gateway and waits until it is ready.
func (st *Stage) startGateway(gatewayName, zone string, memoryMB int) *Gateway {
	g := &Gateway{stage: st, name: gatewayName, listen: st.freeAddress(), readyListen: st.freeAddress(), memoryMB: memoryMB}
	b, err := json.MarshalIndent(st.gatewaySettings(g, zone), "", "  ")
	if err != nil {
		st.cannot("%v", err)
	}
	g.settings = filepath.Join(st.tmp, gatewayName+".json")
	if err := os.WriteFile(g.settings, b, 0o600); err != nil {
		st.cannot("%v", err)
	}
	st.mu.Lock()
	st.gateways = append(st.gateways, g)
	st.mu.Unlock()
	if err := g.start(); err != nil {
		st.cannot("start a gateway: %v", err)
	}
	for range 100 {
		if g.ready() {
			return g
		}
		time.Sleep(50 * time.Millisecond)
	}
	st.cannot("gateway %s is not ready after 5 s", gatewayName)
	return nil
}

func (g *Gateway) start() error {
	out, err := os.OpenFile(filepath.Join(g.stage.tmp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(g.stage.root, "target/tarragonbayd"), "gateway")
	cmd.Dir = g.stage.root
	cmd.Env = []string{name("settings") + "=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	g.cmd = cmd
	g.mu.Unlock()
	g.stage.log("gateway %s starts", g.name)
	go func() {
		err := cmd.Wait()
		g.mu.Lock()
		over := g.over
		g.ended = append(g.ended, fmt.Sprint(err))
		g.mu.Unlock()
		if !over {
			g.stage.log("gateway %s has ended: %v", g.name, err)
		}
	}()
	return nil
}

func (g *Gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.Process.Pid
}

func (g *Gateway) signal(s syscall.Signal) { _ = syscall.Kill(g.pid(), s) }

func (g *Gateway) kill() {
	g.mu.Lock()
	g.over = true
	g.mu.Unlock()
	g.signal(syscall.SIGKILL)
}

// ready asks the question that the platform asks once a second.
func (g *Gateway) ready() bool {
	c, err := net.DialTimeout("tcp", g.readyListen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(c, "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
	b := make([]byte, 64)
	n, _ := c.Read(b)
	return strings.HasPrefix(string(b[:n]), "HTTP/1.1 200")
}

// memory returns the resident anonymous memory of the process in MiB: no code and no files.
func (g *Gateway) memory() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "RssAnon: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
