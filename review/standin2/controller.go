package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// controller is one of the project's processes, started by the deploy file's run line.
type controller struct {
	w       *world
	name    string
	address string
	config  map[string]any
	file    string
	cmd     *exec.Cmd
	ended   chan struct{}
	endErr  error
	since   time.Time // when this life was started
	termed  time.Time
	killed  bool
	mu      sync.Mutex
}

// runLine returns the command of `run` in the deploy file.
func runLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "exec bin/railrelay"
	}
	for _, l := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(l, "run = \""); ok {
			line, _, _ := strings.Cut(rest, "\"")
			return line
		}
	}
	return "exec bin/railrelay"
}

func freeAddress(w *world) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannot("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newController(w *world, name string, settings map[string]any) *controller {
	c := &controller{w: w, name: name, address: freeAddress(w), file: filepath.Join(w.dir, name+".json")}
	c.config = map[string]any{"name": name, "listen": c.address, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": w.cores, "memory_mb": w.memoryMB, "sockets": w.sockets},
		"settings": settings}
	return c
}

func (c *controller) writeConfig() {
	c.config["feed"] = c.w.feed.address()
	c.config["known"] = c.w.feed.known()
	text, _ := json.MarshalIndent(c.config, "", " ")
	next := c.file + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		c.w.cannot("%v", err)
	}
	if err := os.Rename(next, c.file); err != nil {
		c.w.cannot("%v", err)
	}
}

func (c *controller) start() {
	c.writeConfig()
	c.cmd = exec.Command("/bin/sh", "-c", runLine())
	c.cmd.Env = append(os.Environ(), "ROUTER_NAME="+c.name, "ROUTER_LISTEN="+c.address, "ROUTER_CONFIG="+c.file)
	log, _ := os.OpenFile(filepath.Join(c.w.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.since, c.termed, c.killed = time.Now(), time.Time{}, false
	if err := c.cmd.Start(); err != nil {
		c.w.cannot("start: %v", err)
	}
	log.Close()
	c.ended = make(chan struct{})
	ended, cmd := c.ended, c.cmd
	go func() {
		c.endErr = cmd.Wait()
		c.mu.Lock()
		expected := c.killed || !c.termed.IsZero()
		c.mu.Unlock()
		if !expected {
			c.w.broke("crash", "controller %s ended by itself: %v", c.name, c.endErr)
		}
		close(ended)
	}()
	for i := 0; i < 300; i++ {
		if c.alive() {
			c.w.record("controller %s is ready", c.name)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.w.cannot("controller %s isn't ready", c.name)
}

func (c *controller) alive() bool {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(putAlive(nil, 1))
	v, err := getValue(conn)
	list, _ := v.([]any)
	if err != nil || len(list) != 4 {
		return false
	}
	result, _ := list[3].([]any)
	return len(result) > 0 && result[0] == true
}

func (c *controller) signal(s syscall.Signal) {
	c.mu.Lock()
	if s == syscall.SIGTERM {
		c.termed = time.Now()
	}
	if s == syscall.SIGKILL {
		c.killed = true
	}
	c.mu.Unlock()
	c.w.record("controller %s gets %v", c.name, s)
	c.cmd.Process.Signal(s)
}

func (c *controller) stop() {
	if c.cmd == nil {
		return
	}
	select {
	case <-c.ended:
		return
	default:
	}
	c.signal(syscall.SIGKILL)
	<-c.ended
}
