package scheduler

// pcg is a permuted congruential generator (PCG-XSH-RR, 64 bits of state). It is used instead of
// the standard library's generators so that a seed gives the same run with every toolchain.
type pcg struct{ state uint64 }

func newPCG(seed uint64) *pcg {
	p := &pcg{state: seed + 1442695040888963407}
	p.next()
	return p
}

func (p *pcg) next() uint32 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	output := uint32(((old >> 18) ^ old) >> 27)
	rotation := uint32(old >> 59)
	return output>>rotation | output<<(-rotation&31)
}

// float64 returns a number in [0, 1).
func (p *pcg) float64() float64 { return float64(p.next()) / (1 << 32) }

// shuffleHead puts the first 8 engines in random order, drawn from all of them.
func (p *pcg) shuffleHead(engines []*engine) {
	for i := range min(8, len(engines)) {
		k := i + int(p.float64()*float64(len(engines)-i))
		engines[i], engines[k] = engines[k], engines[i]
	}
}

// pickWeighted returns an engine with a probability proportional to its weight, nil if there are no
// engines.
func (p *pcg) pickWeighted(engines []*engine, weight func(*engine) float64) (picked *engine) {
	var total float64
	for _, e := range engines {
		engineWeight := weight(e)
		if total += engineWeight; p.float64()*total < engineWeight {
			picked = e
		}
	}
	return picked
}
