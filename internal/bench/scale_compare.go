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

// compareHollowWithReal runs two fleets of s.Compare controllers at rest at the same time: one of real
// controllers only, and one in which half of the controllers are hollow. It returns the ratio of the
// second fleet's figure to the first one's that is furthest from 1. The figures are the leader's bytes
// and messages, sent and received, its CPU time, and the other controllers' mean bytes and messages.
func (s Scale) compareHollowWithReal(ctx context.Context, out io.Writer) (worst float64, err error) {
	half := s
	half.Controllers, half.Real, half.Relays, half.SetAside = s.Compare, (s.Compare+1)/2, 0, false
	half.Engines, half.LinkDelays, half.Faults = compareEngines, false, nil
	allReal := half
	allReal.Real = s.Compare
	runs := []Scale{allReal, half}
	usages, errs := make([]scaleUsage, len(runs)), make([]error, len(runs))
	var group, ready sync.WaitGroup
	ready.Add(len(runs))
	for i, run := range runs {
		group.Go(func() { usages[i], errs[i] = run.measureRestOnly(ctx, &ready) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, err
		}
	}
	usages[0].print(out, fmt.Sprintf("%d real controllers at rest", s.Compare))
	usages[1].print(out, fmt.Sprintf("%d controllers at rest, half of them hollow", s.Compare))
	worst = worstRatio(usages[0], usages[1])
	fmt.Fprintf(out, "ratio of half hollow to all real that is furthest from 1: %.3f\n", worst)
	return worst, nil
}

// measureRestOnly starts a fleet and measures it at rest, once all fleets of the comparison are ready.
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

// worstRatio returns the ratio of a figure in b to the same figure in a that is furthest from 1.
func worstRatio(a, b scaleUsage) float64 {
	worst := 1.0
	compare := func(x, y float64) {
		if x > 0 && y > 0 && math.Abs(math.Log(y/x)) > math.Abs(math.Log(worst)) {
			worst = y / x
		}
	}
	for _, pair := range [][2]scaleRate{{a.Leader, b.Leader}, {a.Mean, b.Mean}} {
		x, y := pair[0], pair[1]
		compare(x.BytesOut, y.BytesOut)
		compare(x.BytesIn, y.BytesIn)
		compare(x.MessagesOut, y.MessagesOut)
		compare(x.MessagesIn, y.MessagesIn)
	}
	compare(a.Leader.CPU, b.Leader.CPU)
	return worst
}
