package intrusivelist

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	name                int
	inList, inOtherList Element[item]
}

// Inserts and removes values at random and compares the list, in both directions, with a slice.
// Each value is in a second list at the same time, which only grows.
func TestListMatchesSliceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list, otherList List[item]
		var model, added []*item
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			position := rapid.IntRange(0, len(model)).Draw(t, "place")
			switch rapid.SampledFrom([]string{"append", "insert", "remove"}).Draw(t, "what") {
			case "append":
				value := &item{name: step}
				list.Append(&value.inList, value)
				otherList.Append(&value.inOtherList, value)
				model, added = append(model, value), append(added, value)
			case "insert":
				value := &item{name: step}
				var previous *Element[item]
				if position > 0 {
					previous = &model[position-1].inList
				}
				list.InsertAfter(&value.inList, value, previous)
				otherList.Append(&value.inOtherList, value)
				model, added = slices.Insert(model, position, value), append(added, value)
			case "remove":
				if position == len(model) {
					continue
				}
				value := model[position]
				list.Remove(&value.inList)
				model = slices.Delete(model, position, position+1)
				if value.inList.Next() != nil || value.inList.Previous() != nil {
					t.Fatal("a removed element still has neighbours")
				}
			}
			if got := forwards(&list); !slices.Equal(got, model) {
				t.Fatalf("forwards %v, want %v", names(got), names(model))
			}
			if got := backwards(&list); !slices.Equal(got, model) {
				t.Fatalf("backwards %v, want %v", names(got), names(model))
			}
			if got := forwards(&otherList); !slices.Equal(got, added) {
				t.Fatalf("other list: %v, want %v", names(got), names(added))
			}
		}
	})
}

func TestAppendAndRemoveDoNotAllocate(t *testing.T) {
	var list List[item]
	value := &item{}
	if n := testing.AllocsPerRun(100,
		func() { list.Append(&value.inList, value); list.Remove(&value.inList) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func forwards(l *List[item]) (values []*item) {
	for e := l.First(); e != nil; e = e.Next() {
		values = append(values, e.Value)
	}
	return values
}

func backwards(l *List[item]) (values []*item) {
	for e := l.Last(); e != nil; e = e.Previous() {
		values = append(values, e.Value)
	}
	slices.Reverse(values)
	return values
}

func names(values []*item) (all []int) {
	for _, value := range values {
		all = append(all, value.name)
	}
	return all
}
