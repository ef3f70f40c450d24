package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"time"
)

const (
	compareEngines = 4
	compareSettle  = 2 * time.Second
)

// compareHollowWithReal holds a fleet that is half hollow against one of processes alone, of s.Compare
// controllers each, both at the same time and at rest. It gives the ratio, hollow by
// real, that is the furthest from 1: of the leader's bytes and messages, sent and
// received, and processor time, and of the bytes and messages of the others.
func (s Scale) compareHollowWithReal(ctx context.Context, out io.Writer) (worst float64, err error) {
	half := s
	half.Controllers, half.Real, half.Relays, half.SetAside = s.Compare, (s.Compare+1)/2, 0, false
	half.Engines, half.LinkDelays, half.Faults = compareEngines, false, nil
	whole := half
	whole.Real = s.Compare
	runs := []Scale{whole, half}
	spent, errs := make([]scaleUsage, len(runs)), make([]error, len(runs))
	var group, ready sync.WaitGroup
	ready.Add(len(runs))
	for i, run := range runs {
		group.Go(func() { spent[i], errs[i] = run.measureRestOnly(ctx, &ready) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, err
		}
	}
	spent[0].print(out, fmt.Sprintf("%d real controllers at rest", s.Compare))
	spent[1].print(out, fmt.Sprintf("%d controllers at rest, half of them hollow", s.Compare))
	worst = worstRatio(spent[0], spent[1])
	fmt.Fprintf(out, "half hollow by all real, the ratio furthest from 1: %.3f\n", worst)
	return worst, nil
}

// measureRestOnly starts a fleet and looks at it at rest, once all of them are ready.
func (s Scale) measureRestOnly(ctx context.Context, ready *sync.WaitGroup) (scaleUsage, error) {
	f, err := s.startFleet(ctx, scaleFleetCount.Add(1))
	ready.Done()
	if err != nil {
		return scaleUsage{}, err
	}
	defer f.close()
	ready.Wait()
	sleep(ctx, max(compareSettle, s.Lease))
	return f.measureRest(s.Rest)
}

// worstRatio is that of b to a which is the furthest from 1.
func worstRatio(a, b scaleUsage) float64 {
	worst := 1.0
	hold := func(x, y float64) {
		if x > 0 && y > 0 && math.Abs(math.Log(y/x)) > math.Abs(math.Log(worst)) {
			worst = y / x
		}
	}
	for _, pair := range [][2]scaleRate{{a.Leader, b.Leader}, {a.Mean, b.Mean}} {
		x, y := pair[0], pair[1]
		hold(x.BytesOut, y.BytesOut)
		hold(x.BytesIn, y.BytesIn)
		hold(x.MessagesOut, y.MessagesOut)
		hold(x.MessagesIn, y.MessagesIn)
	}
	hold(a.Leader.CPU, b.Leader.CPU)
	return worst
}
