package fairqueue

// virtualStartHeap is a binary heap of sibling nodes with eligible queries in one lane, ordered by
// virtual start time. Each node stores its position.
type virtualStartHeap []*node

// startsBefore reports whether a precedes its sibling b: by virtual start time, and in a tie by the
// order in which their states were created.
func startsBefore(a, b *node, lane int) bool {
	if a.virtualStart[lane] < b.virtualStart[lane] {
		return true
	}
	return a.virtualStart[lane] == b.virtualStart[lane] && a.sequence < b.sequence
}

func (h *virtualStartHeap) push(n *node, lane int) {
	*h = append(*h, n)
	n.heapPosition[lane] = len(*h) - 1
	h.up(n.heapPosition[lane], lane)
}

func (h *virtualStartHeap) remove(i, lane int) {
	nodes := *h
	last := len(nodes) - 1
	nodes[i].heapPosition[lane] = -1
	if i != last {
		nodes[i] = nodes[last]
		nodes[i].heapPosition[lane] = i
	}
	nodes[last] = nil
	*h = nodes[:last]
	if i < last {
		h.fix(i, lane)
	}
}

func (h *virtualStartHeap) fix(i, lane int) {
	if !h.up(i, lane) {
		h.down(i, lane)
	}
}

func (h *virtualStartHeap) up(i, lane int) (moved bool) {
	nodes := *h
	for i > 0 {
		parent := (i - 1) / 2
		if !startsBefore(nodes[i], nodes[parent], lane) {
			break
		}
		nodes[i], nodes[parent] = nodes[parent], nodes[i]
		nodes[i].heapPosition[lane], nodes[parent].heapPosition[lane] = i, parent
		i, moved = parent, true
	}
	return moved
}

func (h *virtualStartHeap) down(i, lane int) {
	nodes := *h
	for {
		child := 2*i + 1
		if child >= len(nodes) {
			return
		}
		if child+1 < len(nodes) && startsBefore(nodes[child+1], nodes[child], lane) {
			child++
		}
		if !startsBefore(nodes[child], nodes[i], lane) {
			return
		}
		nodes[i], nodes[child] = nodes[child], nodes[i]
		nodes[i].heapPosition[lane], nodes[child].heapPosition[lane] = i, child
		i = child
	}
}

// refillHeap is a binary heap of the nodes beyond their quota, ordered by the time at which their
// token buckets are back at zero.
type refillHeap []*node

func (h *refillHeap) less(i, j int) bool { return (*h)[i].refilledAt() < (*h)[j].refilledAt() }

func (h *refillHeap) swap(i, j int) {
	nodes := *h
	nodes[i], nodes[j] = nodes[j], nodes[i]
	nodes[i].refillHeapPosition, nodes[j].refillHeapPosition = i, j
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
		child := 2*i + 1
		if child >= len(*h) {
			return
		}
		if child+1 < len(*h) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
