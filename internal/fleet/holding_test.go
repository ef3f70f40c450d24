package fleet

import (
	"encoding/json"
	"testing"
)

func TestWhoHoldsALeaseIsToldWhereItIsKnown(t *testing.T) {
	for holding, want := range map[LeaseStatus]string{LeaseStatusOf(true): "true", LeaseStatusOf(false): "false", LeaseStatusUnknown: `"not known here"`} {
		text, err := json.Marshal(MemberStatus{Lease: holding})
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(text, &fields); err != nil || string(fields["holds"]) != want {
			t.Errorf("%v is written as %s, want %s: %v", holding, fields["holds"], want, err)
		}
		var back MemberStatus
		if err := json.Unmarshal(text, &back); err != nil || back.Lease != holding {
			t.Errorf("%s is read as %v: %v", text, back.Lease, err)
		}
	}
	var h LeaseStatus
	if err := json.Unmarshal([]byte(`"perhaps"`), &h); err == nil {
		t.Error("anything is read")
	}
}
