package intrusivelist

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	name           int
	inList, inBoth Element[item]
}

// Whatever is put in and taken out, the list has what a slice has, both ways, and a value
// may be in two lists at once.
func TestListIsLikeASlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list, both List[item]
		var model, added []*item
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			place := rapid.IntRange(0, len(model)).Draw(t, "place")
			switch rapid.SampledFrom([]string{"append", "insert", "remove"}).Draw(t, "what") {
			case "append":
				x := &item{name: n}
				list.Append(&x.inList, x)
				both.Append(&x.inBoth, x)
				model, added = append(model, x), append(added, x)
			case "insert":
				x := &item{name: n}
				var previous *Element[item]
				if place > 0 {
					previous = &model[place-1].inList
				}
				list.InsertAfter(&x.inList, x, previous)
				both.Append(&x.inBoth, x)
				model, added = slices.Insert(model, place, x), append(added, x)
			case "remove":
				if place == len(model) {
					continue
				}
				x := model[place]
				list.Remove(&x.inList)
				model = slices.Delete(model, place, place+1)
				if x.inList.Next() != nil || x.inList.Previous() != nil {
					t.Fatal("what was taken out has neighbours")
				}
			}
			if got := forwards(&list); !slices.Equal(got, model) {
				t.Fatalf("forwards %v, want %v", names(got), names(model))
			}
			if got := backwards(&list); !slices.Equal(got, model) {
				t.Fatalf("backwards %v, want %v", names(got), names(model))
			}
			if got := forwards(&both); !slices.Equal(got, added) {
				t.Fatalf("the other list has %v, want %v", names(got), names(added))
			}
		}
	})
}

func TestNothingIsAllocated(t *testing.T) {
	var list List[item]
	x := &item{}
	if n := testing.AllocsPerRun(100, func() { list.Append(&x.inList, x); list.Remove(&x.inList) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func forwards(l *List[item]) (all []*item) {
	for e := l.First(); e != nil; e = e.Next() {
		all = append(all, e.Value)
	}
	return all
}

func backwards(l *List[item]) (all []*item) {
	for e := l.Last(); e != nil; e = e.Previous() {
		all = append(all, e.Value)
	}
	slices.Reverse(all)
	return all
}

func names(l []*item) (all []int) {
	for _, x := range l {
		all = append(all, x.name)
	}
	return all
}
