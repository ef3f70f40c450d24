package fleet

import (
	"encoding/json"
	"testing"
)

func TestLeaseStatusEncodesAndDecodesAsJSON(t *testing.T) {
	for status, want := range map[LeaseStatus]string{LeaseStatusOf(true): "true", LeaseStatusOf(false): "false",
		LeaseStatusUnknown: `"not known here"`} {
		text, err := json.Marshal(MemberStatus{Lease: status})
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(text, &fields); err != nil || string(fields["holds"]) != want {
			t.Errorf("%v is encoded as %s, want %s: %v", status, fields["holds"], want, err)
		}
		var decoded MemberStatus
		if err := json.Unmarshal(text, &decoded); err != nil || decoded.Lease != status {
			t.Errorf("%s is decoded as %v: %v", text, decoded.Lease, err)
		}
	}
	var status LeaseStatus
	if err := json.Unmarshal([]byte(`"perhaps"`), &status); err == nil {
		t.Error("an unknown text is decoded without an error")
	}
}
