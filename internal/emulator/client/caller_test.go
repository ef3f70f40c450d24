package client

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/iotest"
)

// answered encodes the response that a controller is ready: message type, message ID, no
// error, true and no fields.
func answered(msg byte) []byte {
	return []byte{0x94, 1, 0xce, 0, 0, 0, msg, 0xc0, 0x92, 0xc3, 0x80}
}

func TestReadAllTakesEachAnswerOnce(t *testing.T) {
	var whole []byte
	var want []uint32
	for msg := range byte(5) {
		whole = append(whole, answered(msg)...)
		if answer, took, err := Read(answered(msg)); err != nil || took != len(answered(msg)) || answer.Msg != uint32(msg) {
			t.Fatal(answer, took, err)
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

func TestReadAllEndsAtWhatIsNoAnswer(t *testing.T) {
	var got int
	err := ReadAll(bytes.NewReader(append(answered(1), "no answer"...)), func(Answer) { got++ })
	if got != 1 || err == nil || errors.Is(err, io.EOF) {
		t.Errorf("%d answers, %v", got, err)
	}
}
