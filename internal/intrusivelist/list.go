// Package intrusivelist provides a doubly linked list like container/list, except that the list
// elements are fields of the listed values, so that inserting and removing a value allocates no
// memory. A value can be in several lists if it has an element for each of them.
package intrusivelist

// Element links a value into one list. The zero value is in no list.
type Element[V any] struct {
	next, previous *Element[V]
	// Value points to the value that contains the element. It is set when the element is inserted.
	Value *V
}

// Next returns the following element, or nil for the last one.
func (e *Element[V]) Next() *Element[V] { return e.next }

// Previous returns the preceding element, or nil for the first one.
func (e *Element[V]) Previous() *Element[V] { return e.previous }

// List is a doubly linked list that contains each value at most once. The zero value is an empty
// list.
type List[V any] struct{ first, last *Element[V] }

// First returns the first element, or nil if the list is empty.
func (l *List[V]) First() *Element[V] { return l.first }

// Last returns the last element, or nil if the list is empty.
func (l *List[V]) Last() *Element[V] { return l.last }

// Append inserts a value at the end of the list. The element must not be in a list.
func (l *List[V]) Append(e *Element[V], value *V) { l.InsertAfter(e, value, l.last) }

// InsertAfter inserts a value after previous, which must be in the list, or at the front if
// previous is nil. The element must not be in a list.
func (l *List[V]) InsertAfter(e *Element[V], value *V, previous *Element[V]) {
	e.Value, e.previous = value, previous
	if previous != nil {
		e.next, previous.next = previous.next, e
	} else {
		e.next, l.first = l.first, e
	}
	if e.next != nil {
		e.next.previous = e
	} else {
		l.last = e
	}
}

// Remove removes an element, which must be in this list.
func (l *List[V]) Remove(e *Element[V]) {
	if e.previous != nil {
		e.previous.next = e.next
	} else {
		l.first = e.next
	}
	if e.next != nil {
		e.next.previous = e.previous
	} else {
		l.last = e.previous
	}
	e.next, e.previous = nil, nil
}
