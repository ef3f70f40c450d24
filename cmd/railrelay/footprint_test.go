package main

import (
	"bytes"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
)

// The platform's program must not link large packages that only fleets need, since they would use memory
// from the start. railrelay-fleet links them.
func TestPlatformProgramHasSmallFootprint(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").CombinedOutput()
	if err != nil {
		t.Fatal(string(out))
	}
	for _, dependency := range []string{"net/http", "go.etcd.io/raft/v3", "google.golang.org/protobuf/proto",
		"crypto/tls"} {
		if bytes.Contains(out, []byte("\n"+dependency+"\n")) {
			t.Errorf("%s is linked", dependency)
		}
	}
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	status, err := os.ReadFile("/proc/" + strconv.Itoa(c.cmd.Process.Pid) + "/status")
	if err != nil {
		t.Skip("the kernel does not report resident memory")
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	if kb, err := strconv.Atoi(strings.Fields(rest)[0]); err != nil || kb > 9900 {
		t.Errorf("%d kB resident after the start, %v", kb, err)
	}
}
