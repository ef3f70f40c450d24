package scheduler

// pcg is a permuted congruential generator (PCG-XSH-RR, 64 bits of state). The
// standard library's sources are not used so that a run can be repeated from
// the seed alone, whatever the tool chain.
type pcg struct{ state uint64 }

func newPCG(seed uint64) *pcg {
	p := &pcg{state: seed + 1442695040888963407}
	p.next()
	return p
}

func (p *pcg) next() uint32 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	return x>>rot | x<<(-rot&31)
}

// float is in [0, 1).
func (p *pcg) float() float64 { return float64(p.next()) / (1 << 32) }

// shuffle puts the first few in an order drawn at random.
func (p *pcg) shuffle(l []*engine) {
	for i := range min(8, len(l)) {
		k := i + int(p.float()*float64(len(l)-i))
		l[i], l[k] = l[k], l[i]
	}
}

// draw takes one with odds in step with its weight.
func (p *pcg) draw(l []*engine, weight func(*engine) float64) (found *engine) {
	var total float64
	for _, e := range l {
		w := weight(e)
		if total += w; p.float()*total < w {
			found = e
		}
	}
	return found
}
