package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// controller is the controller's process, started by the line `run` of the deploy file.
type controller struct {
	cmd     *exec.Cmd
	address string
	folder  string
	exited  chan error
	log     string
}

// class is one resource group of the settings.
type class map[string]any

// lookup is a read-only group with the figures of a short query.
func lookup(deadlineMS float64) class {
	return class{"name": "gauge-lookup", "effect": "read_like", "key_scope": "all", "importance": 1.0,
		"aim_stretch": 1.5, "objective_ms": 1000.0, "deadline_ms": deadlineMS, "late_share": 0.1,
		"stream": false, "window_ms": 5000.0}
}

// load is a mutating group that keeps order by key.
func load(deadlineMS float64) class {
	return class{"name": "station-load", "effect": "non_idempotent", "key_scope": "all", "importance": 6.0,
		"aim_stretch": 2.5, "objective_ms": 3000.0, "deadline_ms": deadlineMS, "late_share": 0.5,
		"stream": false, "window_ms": 5000.0, "fifo_by_key": true}
}

// report is a read-only group of long queries.
func report(deadlineMS float64) class {
	return class{"name": "forecast-report", "effect": "read_like", "key_scope": "all", "importance": 10.0,
		"aim_stretch": 2.5, "objective_ms": 2000.0, "deadline_ms": deadlineMS, "late_share": 0.4,
		"stream": false, "window_ms": 5000.0}
}

// settings returns settings like those of a small deployment with one controller.
func settings(classes ...class) map[string]any {
	waits, threads, writes := []bool{}, []int{}, []bool{}
	for _, c := range classes {
		waits, threads = append(waits, false), append(threads, 1)
		writes = append(writes, c["effect"] == "non_idempotent")
	}
	return map[string]any{
		"allowed": map[string]any{"connect_timeout_ms": 250.0, "keepalive_ms": 15000.0, "max_attempts": 3,
			"max_retry_after_ms": 1000.0, "may_cancel": true, "may_probe": true, "may_tell": false,
			"retry_after": true, "second_copies": true},
		"balancers": 1, "me": 0, "classes": classes, "clients": map[string]any{"marks_retry": false},
		"customers": []any{}, "discovery": "pushed",
		"family_info": map[string]any{"class_waits": waits, "cost_in_answers": true, "kind_cores": []int{8},
			"lanes_count": true, "memory_heeded": true, "most_grant": 0.4, "note_period_ms": 2000.0,
			"out_of_memory": "swap", "ram_of_kind_mb": []float64{16384}, "threads_by_class": threads,
			"writes_tables": writes},
		"kinds": []string{"std-8"}, "my_zone": "linz-1", "zones": []string{"linz-1"},
		"obligations": map[string]any{"ask_within_ms": 10000.0, "cold_from": 0.33, "drain_grace_ms": 1000.0,
			"fall_ms": 1000.0, "grace_to_answer_ms": 20.0, "key_rest_ms": 300.0, "tip_multiple": 3.0,
			"warm_after_ms": 15000.0},
		"quantum_ms": 5.0, "report": map[string]any{"fields": []string{"outstanding", "utilization"},
			"how": "on_probe"},
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startController starts a controller over a feed's engines and waits until it is ready. It is told that the
// feed is at an address.
func startController(feed *feed, feedAddress string, with map[string]any) (*controller, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no run line")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	started.Lock()
	started.folders = append(started.folders, folder)
	started.Unlock()
	c := &controller{folder: folder, exited: make(chan error, 1), log: filepath.Join(folder, "log")}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = free.Addr().String()
	free.Close()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": c.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "feed": feedAddress,
		"known": map[string]any{"n": 1, "events": []any{feed.wholeList()}}, "settings": with})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(folder, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(c.log)
	if err != nil {
		return nil, err
	}
	c.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	c.cmd.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+c.address, "ROUTER_CONFIG="+config)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	started.Lock()
	started.processes = append(started.processes, c.cmd.Process)
	started.Unlock()
	go func() { c.exited <- c.cmd.Wait() }()
	if err := c.awaitReady(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// started are the processes that this program has started.
var started struct {
	sync.Mutex
	processes []*os.Process
	folders   []string
}

// endOnSignal ends all started processes if this program is told to end.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		started.Lock()
		for _, p := range started.processes {
			p.Kill()
			p.Wait()
		}
		for _, folder := range started.folders {
			os.RemoveAll(folder)
		}
		os.Exit(cannotRun)
	}()
}

// awaitReady asks the controller until it answers alive with true.
func (c *controller) awaitReady() error {
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		conn.Write(appendCall(nil, 1, "alive", nil, nil, false))
		buffer := make([]byte, 64)
		n, _ := conn.Read(buffer)
		conn.Close()
		if m, _, ok := readAnswer(buffer[:n]); ok && m.alive {
			return nil
		}
	}
	text, _ := os.ReadFile(c.log)
	return fmt.Errorf("the controller was not ready within 30 s: %s", text)
}

// stop ends the controller.
func (c *controller) stop() {
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.exited:
	case <-time.After(8 * time.Second):
		c.cmd.Process.Kill()
		<-c.exited
	}
	os.RemoveAll(c.folder)
}

// ended reports whether the controller's process has ended by itself.
func (c *controller) ended() bool {
	select {
	case err := <-c.exited:
		c.exited <- err
		return true
	default:
		return false
	}
}
