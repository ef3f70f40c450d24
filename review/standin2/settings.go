package main

// linz returns the settings of a small deployment: those of the pages' first site.
func linz(controllers int) map[string]any {
	class := func(name, effect string, aim, deadline, importance, late, stretch float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "objective_ms": aim, "deadline_ms": deadline,
			"importance": importance, "late_share": late, "aim_stretch": stretch, "key_scope": "all", "stream": false,
			"window_ms": 5000.0}
	}
	load := class("station-load", "non_idempotent", 3000, 25000, 6, 0.5, 2.5)
	load["fifo_by_key"] = true
	return map[string]any{
		"allowed": map[string]any{"connect_timeout_ms": 250.0, "keepalive_ms": 15000.0, "max_attempts": 3,
			"max_open": 26666, "max_retry_after_ms": 1000.0, "may_cancel": true, "may_probe": true, "may_tell": false,
			"retry_after": true, "second_copies": true, "streams_per_conn": 100, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 133333},
		"balancers": controllers,
		"classes": []any{class("gauge-lookup", "read_like", 1000, 5000, 1, 0.1, 1.5),
			class("forecast-report", "read_like", 2000, 15000, 10, 0.4, 2.5), load},
		"customers": []any{}, "discovery": "pushed",
		"family_info": map[string]any{"class_waits": []any{true, false, false}, "cost_in_answers": true,
			"kind_cores": []any{8}, "lanes_count": true, "memory_heeded": true, "most_grant": 0.4,
			"note_period_ms": 2000.0, "out_of_memory": "swap", "ram_of_kind_mb": []any{16384.0},
			"threads_by_class": []any{1, 3, 2}, "writes_tables": []any{false, false, true}},
		"kinds": []any{"std-8"}, "me": 0, "my_zone": 0,
		"obligations": map[string]any{"ask_within_ms": 10000.0, "cold_from": 0.33, "drain_grace_ms": 1000.0,
			"fall_ms": 1000.0, "grace_to_answer_ms": 20.0, "key_rest_ms": 300.0, "tip_multiple": 3.0,
			"warm_after_ms": 15000.0},
		"over_share_worth": 0.1, "prices": map[string]any{"probe": 0.014}, "quantum_ms": 5.0,
		"report":       map[string]any{"fields": []any{"inflight", "util"}, "how": "on_probe"},
		"service_type": "queries", "stage": 0, "tiers": []any{"pegel-engines"}, "value_by": "request",
		"weights": "rough", "zones": []any{"linz-1"},
	}
}
