package fairqueue

// heap orders siblings that wait in one lane by virtual start time. Each node knows its position.
type heap []*node

// startsBefore orders siblings by virtual start time, and by age of their state in a tie.
func startsBefore(a, b *node, lane int) bool {
	if a.virtualStart[lane] < b.virtualStart[lane] {
		return true
	}
	return a.virtualStart[lane] == b.virtualStart[lane] && a.sequence < b.sequence
}

func (h *heap) push(n *node, lane int) {
	*h = append(*h, n)
	n.heapPosition[lane] = len(*h) - 1
	h.up(n.heapPosition[lane], lane)
}

func (h *heap) remove(i, lane int) {
	l := *h
	last := len(l) - 1
	l[i].heapPosition[lane] = -1
	if i != last {
		l[i] = l[last]
		l[i].heapPosition[lane] = i
	}
	l[last] = nil
	*h = l[:last]
	if i < last {
		h.fix(i, lane)
	}
}

func (h *heap) fix(i, lane int) {
	if !h.up(i, lane) {
		h.down(i, lane)
	}
}

func (h *heap) up(i, lane int) (moved bool) {
	l := *h
	for i > 0 {
		p := (i - 1) / 2
		if !startsBefore(l[i], l[p], lane) {
			break
		}
		l[i], l[p] = l[p], l[i]
		l[i].heapPosition[lane], l[p].heapPosition[lane] = i, p
		i, moved = p, true
	}
	return moved
}

func (h *heap) down(i, lane int) {
	l := *h
	for {
		k := 2*i + 1
		if k >= len(l) {
			return
		}
		if k+1 < len(l) && startsBefore(l[k+1], l[k], lane) {
			k++
		}
		if !startsBefore(l[k], l[i], lane) {
			return
		}
		l[i], l[k] = l[k], l[i]
		l[i].heapPosition[lane], l[k].heapPosition[lane] = i, k
		i = k
	}
}

// refillHeap orders nodes beyond their quota by the time when they are within it again.
type refillHeap []*node

func (h *refillHeap) less(i, j int) bool { return (*h)[i].refilledAt() < (*h)[j].refilledAt() }

func (h *refillHeap) swap(i, j int) {
	l := *h
	l[i], l[j] = l[j], l[i]
	l[i].refillHeapPosition, l[j].refillHeapPosition = i, j
}

func (h *refillHeap) push(n *node) {
	*h = append(*h, n)
	n.refillHeapPosition = len(*h) - 1
	h.fix(n.refillHeapPosition)
}

func (h *refillHeap) remove(i int) {
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last].refillHeapPosition = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.fix(i)
	}
}

func (h *refillHeap) fix(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		k := 2*i + 1
		if k >= len(*h) {
			return
		}
		if k+1 < len(*h) && h.less(k+1, k) {
			k++
		}
		if !h.less(k, i) {
			return
		}
		h.swap(i, k)
		i = k
	}
}
