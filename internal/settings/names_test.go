package settings

import (
	"maps"
	"testing"
)

func TestFromPairsAndFromJSONAgree(t *testing.T) {
	pairs := []string{"balancers=3", "allowed.may_cancel=true", "allowed.connect_timeout_ms=250.0",
		"classes.count=2",
		"classes.0.aim_stretch=1.5", "classes.0.effect=read_like", "classes.0.name=gauge_look_up",
		"classes.1.effect=non_idempotent",
		"classes.1.fifo_by_key=true", "classes.1.importance=6.0", "classes.1.allowed_on=1",
		"classes.1.zones_open=0,1",
		"customers=", "family_info.class_waits=true,false", "family_info.most_grant=0.4",
		"family_info.notes=ok:_words__more",
		"family_info.kind_cores=8,16", "kinds=std-8,big_1", "zones=linz-1,linz-2", "discovery=on_request",
		"report.how=on_probe",
		"report.fields=outstanding,utilization", "quantum_ms=5.0", "unknown.thing=1", "me=0"}
	nested := `{"balancers":3,"allowed":{"may_cancel":true,"connect_timeout_ms":250.0},
		"classes":[{"aim_stretch":1.5,"effect":"read_like","name":"gauge look up"},
			{"effect":"non_idempotent","fifo_by_key":true,"importance":6.0,"allowed_on":["big 1"],
		"zones_open":["linz-1","linz-2"]}],
		"customers":[],"family_info":{"class_waits":[true,false],"most_grant":0.4,"notes":"ok: words, more",
		"kind_cores":[8,16]},
		"kinds":["std-8","big 1"],"zones":["linz-1","linz-2"],"discovery":"on_request","quantum_ms":5.0,"me":0,
		"report":{"how":"on_probe","fields":["outstanding","utilization"]},"unknown":{"thing":1}}`
	a := FromPairs(pairs)
	b, err := FromJSON([]byte(nested))
	if err != nil || !maps.Equal(a, b) || a["group.1.in-order"] != "true" || a["groups"] != "2" {
		t.Errorf("%v\n%v\n%v", err, a, b)
	}
	if _, err := FromJSON([]byte("{")); err == nil {
		t.Error("incomplete JSON was accepted")
	}
}
