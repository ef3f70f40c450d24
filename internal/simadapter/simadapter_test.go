package simadapter

import (
	"strings"
	"testing"
)

const startInput = "round\t100\nstart\t3\t77\tclasses.count=1\tclasses.0.name=lookup\t" +
	"classes.0.effect=read_like\tclasses.0.deadline_ms=5000.0\t" +
	"classes.0.objective_ms=1000.0\tfamily_info.kind_cores=8\tfamily_info.threads_by_class=1\t" +
	"kinds=std\tbalancers=1\tallowed.max_attempts=3\n" +
	"ledger\t0\t1\nexecutor\t10.0.0.1:1\t0\t0\t0\ton\t1\t-\nmembership\t3\tremembered\t0\t1\ngo\n"

func TestRunSendsQueryToListedEngine(t *testing.T) {
	var out strings.Builder
	err := Run(strings.NewReader(startInput+
		"round\t105\nnew_request\t3\tabcd\t0\t11\t-\t0\t-\t0\t4000.0\t0\ngo\n"+
		"round\t150\nattempt_end\t3\tabcd\t0\t10.0.0.1:1\tdone\t45\t1\t4096\t-\ngo\n"), &out)
	if err != nil || strings.Count(out.String(), "eor\n") != 3 || !strings.Contains(out.String(),
		"place\t3\tabcd\t10.0.0.1:1\t4000.000\n") {
		t.Fatal(err, out.String())
	}
}

func TestRunRejectsMalformedLines(t *testing.T) {
	for _, line := range []string{"go on", "new_request\t3\tabcd",
		"new_request\t3\tabcd\t0\t11\t-\t0\t-\tx\t4000.0\t0", "attempt_end\t3\tabcd\t0\te\tmolten\t1\t1\t0\t-",
		"membership\t3\tall\t99\t1", "timeout_fired\t4\t1", "ledger\t0\t2\nexecutor\ta"} {
		var out strings.Builder
		if err := Run(strings.NewReader(startInput+line+"\n"), &out); err == nil {
			t.Errorf("%q was accepted", line)
		}
	}
}
