package lab

// Planted are the faults that a build can be made with by a tag, what finds each, and
// how it is named there. `make planted` builds them.
var Planted = []struct{ Tag, Package, Run, Named string }{
	{"planted_fence", "./internal/lab", "TestSchedules", "forgotten"},
	{"planted_force", "./internal/lab", "TestSchedules", "mixed:"},
	{"planted_down", "./internal/lab", "TestSchedules", "confirmed_wrongly:"},
}
