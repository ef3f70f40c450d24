package controller

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkStartWithManyEngines starts a controller with a number of engines listed in one event. The cost
// must grow linearly with the number of engines, not with its square.
func BenchmarkStartWithManyEngines(b *testing.B) {
	for _, n := range []int{8, 80, 400, 1024} {
		var members []string
		for i := range n {
			engine := &fakeEngine{id: "e" + strconv.Itoa(i), address: fmt.Sprintf("10.0.%d.%d:6565", i/250, i%250),
				state: "SERVING"}
			members = append(members, engine.endpointJSON(0))
		}
		known := []byte(`{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[` +
			strings.Join(members, ",") + `]}}]}`)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				controller, _ := New(Config{Seed: 7, MemoryMB: 32, MaxDescriptors: 256, DiscoveryAddress: "feed",
					InitialEndpoints: known, Settings: defaultSettings(nil)})
				if len(controller.engines) != n {
					b.Fatal(len(controller.engines))
				}
			}
		})
	}
}
