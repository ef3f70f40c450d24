package client

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/iotest"
)

// readyResponse encodes the response that a controller is ready: message type, message ID, no
// error, true and no fields.
func readyResponse(msg byte) []byte {
	return []byte{0x94, 1, 0xce, 0, 0, 0, msg, 0xc0, 0x92, 0xc3, 0x80}
}

func TestReadAllHandlesEachResponseOnce(t *testing.T) {
	var whole []byte
	var want []uint32
	for msg := range byte(5) {
		whole = append(whole, readyResponse(msg)...)
		if answer, consumed, err := Read(readyResponse(msg)); err != nil || consumed != len(readyResponse(msg)) || answer.Msg != uint32(msg) {
			t.Fatal(answer, consumed, err)
		}
		want = append(want, uint32(msg))
	}
	for name, connection := range map[string]io.Reader{"whole": bytes.NewReader(whole), "byte by byte": iotest.OneByteReader(bytes.NewReader(whole))} {
		var got []uint32
		err := ReadAll(connection, func(a Answer) { got = append(got, a.Msg) })
		if !slices.Equal(got, want) || !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

func TestReadAllFailsOnMalformedResponse(t *testing.T) {
	var got int
	err := ReadAll(bytes.NewReader(append(readyResponse(1), "no answer"...)), func(Answer) { got++ })
	if got != 1 || err == nil || errors.Is(err, io.EOF) {
		t.Errorf("%d answers, %v", got, err)
	}
}
