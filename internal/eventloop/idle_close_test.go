package eventloop

import (
	"io"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/controller"
)

// A connection was once closed as idle though bytes of its peer, or its end, had arrived and were unread.
func TestConnectionWithUnreadInputIsNotIdle(t *testing.T) {
	for name, send := range map[string]func(peer io.WriteCloser){
		"bytes": func(peer io.WriteCloser) { io.WriteString(peer, "x") },
		"end":   func(peer io.WriteCloser) { peer.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := connectionPair(t)
			defer ours.Close()
			defer theirs.Close()
			send(theirs)
			conn := newConnection(&controller.Connection{}, ours)
			for end := time.Now().Add(testTimeout); !conn.hasPendingInput(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("what the peer sent is not seen")
				}
			}
			if conn.closeIfIdle(time.Second) {
				t.Fatal("closed")
			}
		})
	}
	ours, theirs := connectionPair(t)
	defer ours.Close()
	defer theirs.Close()
	if !newConnection(&controller.Connection{}, ours).closeIfIdle(time.Second) {
		t.Fatal("not closed though nothing is pending")
	}
	theirs.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := theirs.Read(make([]byte, 1)); err != io.EOF {
		t.Fatal("the peer was not told at once: ", err)
	}
}
