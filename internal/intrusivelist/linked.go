// Package intrusivelist is a doubly linked list as container/list is one, but its elements are
// fields of the values that are in it: putting a value in and taking it out allocates
// nothing. A value may be in several lists, by an element for each.
package intrusivelist

// Element is a value's place in one list. The zero value is in none.
type Element[V any] struct {
	next, previous *Element[V]
	// Value is what the element is a field of, once it was put into a list.
	Value *V
}

// Next is the element behind one of a list, nil behind the last.
func (e *Element[V]) Next() *Element[V] { return e.next }

// Previous is the element before one of a list, nil before the first.
func (e *Element[V]) Previous() *Element[V] { return e.previous }

// List is a list of values, each of which is in it once at the most. The zero value is an
// empty one.
type List[V any] struct{ first, last *Element[V] }

// First is the first element, nil if there is none.
func (l *List[V]) First() *Element[V] { return l.first }

// Last is the last element, nil if there is none.
func (l *List[V]) Last() *Element[V] { return l.last }

// Append puts a value at the list's end, by an element that is in no list.
func (l *List[V]) Append(e *Element[V], value *V) { l.InsertAfter(e, value, l.last) }

// InsertAfter puts a value behind an element of the list, or at the front if that is nil,
// by an element that is in no list.
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

// Remove takes an element out of the list, which must have it.
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
