package resultstore_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"railrelay.dev/railrelay/internal/emulator/disk"
	"railrelay.dev/railrelay/internal/resultstore"
)

// life is what a test knows of a result.
type life struct {
	pages    [][]byte
	rows     []uint32
	promised int // disk steps when it was, 0: never
	dropping int // when its end began, 0: never
	dropped  int // when that was written
}

// script plays a store at random and remembers what was promised when.
type script struct {
	t     testing.TB
	rng   *rand.Rand
	d     *disk.Disk
	x     *disk.Index
	s     *resultstore.Store
	lives map[uint64]*life
	open  []uint64
	whole []uint64
	next  uint64
}

func newScript(t testing.TB, seed uint64, terms resultstore.Options) *script {
	d := disk.New()
	x := disk.NewIndex(d)
	s, _, err := resultstore.Open(d, x, terms)
	if err != nil {
		t.Fatal(err)
	}
	return &script{t: t, rng: rand.New(rand.NewPCG(seed, 1)), d: d, x: x, s: s, lives: map[uint64]*life{}, next: s.FirstResultID()}
}

func (c *script) page() []byte {
	p := make([]byte, 20+c.rng.IntN(400))
	for i := range p {
		p[i] = byte('a' + c.rng.IntN(26))
	}
	return append(p, '\n')
}

func (c *script) do(j *resultstore.Job) error {
	c.s.Do([]*resultstore.Job{j})
	return j.Err
}

func (c *script) write(id uint64) {
	l := c.lives[id]
	p := c.page()
	if c.do(&resultstore.Job{Pages: []resultstore.Record{{Kind: resultstore.PageRecord, Result: id, Page: uint32(len(l.pages)), Body: p}}}) == nil {
		l.pages, l.rows = append(l.pages, p), append(l.rows, 1)
	}
}

func (c *script) promise(id uint64) error {
	l := c.lives[id]
	err := c.do(&resultstore.Job{Commit: &resultstore.Meta{Result: id, QueryID: fmt.Sprintf("%016x", id), Tenant: "linz", CreatedMillis: 1, ExpiresMillis: 1000, PageRows: l.rows}})
	if err == nil {
		l.promised = c.d.Steps()
	}
	return err
}

func (c *script) drop(id uint64) {
	l := c.lives[id]
	l.dropping = max(1, c.d.Steps())
	if c.do(&resultstore.Job{Drop: []uint64{id}}) == nil {
		l.dropped = c.d.Steps()
	}
}

func (c *script) step() {
	pick := func(l *[]uint64) uint64 {
		i := c.rng.IntN(len(*l))
		id := (*l)[i]
		*l = append((*l)[:i], (*l)[i+1:]...)
		return id
	}
	switch x := c.rng.IntN(20); {
	case x < 4 || len(c.open) == 0:
		c.next++
		c.lives[c.next] = &life{}
		c.open = append(c.open, c.next)
		c.write(c.next)
	case x < 11:
		c.write(c.open[c.rng.IntN(len(c.open))])
	case x < 14:
		id := pick(&c.open)
		if c.promise(id) == nil {
			c.whole = append(c.whole, id)
		} else {
			c.drop(id)
		}
	case x < 16 && len(c.whole) > 0:
		c.drop(pick(&c.whole))
	case x < 17:
		c.drop(pick(&c.open))
	default:
		if _, err := c.s.Tick(); err != nil && c.d.Fail == nil {
			c.t.Fatal(err)
		}
	}
}

// matches: what is there is equal byte for byte to what was written.
func matches(t testing.TB, s *resultstore.Store, id uint64, l *life) {
	t.Helper()
	for i, want := range l.pages {
		if got, err := s.Fetch(id, i); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("page %d of %d: %v, %d bytes of %d", i, len(l.pages), err, len(got), len(want))
		}
	}
	if _, err := s.Fetch(id, len(l.pages)); !errors.Is(err, resultstore.ErrNotFound) {
		t.Fatal("a page behind the last: ", err)
	}
}

func small() resultstore.Options {
	return resultstore.Options{SegmentBytes: 2 << 10, MaxIndexLag: 5, CompactionStepBytes: 1 << 10}
}

// Every write of a run is cut, in three ways, with and without the index, and what is
// found then is all that was promised and nothing else.
func TestEveryCrash(t *testing.T) {
	c := newScript(t, 7, small())
	for range 230 {
		c.step()
	}
	steps := c.d.Steps()
	if steps < 300 {
		t.Fatal("the run has too few steps to say anything: ", steps)
	}
	compacted := 0
	for k := range steps + 1 {
		for how := disk.Killed; how <= disk.Cut; how++ {
			for _, lost := range []bool{false, true} {
				if lost && k%3 != int(how) { // it is all read anew then, which takes long
					continue
				}
				d := c.d.After(k, how)
				x := disk.NewIndex(d)
				if !lost {
					x = c.x.After(k, d)
				}
				s, found, err := resultstore.Open(d, x, small())
				if err != nil {
					t.Fatalf("cut at %d, %v: %v", k, how, err)
				}
				if len(found.Lost) > 0 {
					t.Fatalf("cut at %d, %v: promised and lost %x", k, how, found.Lost)
				}
				there := map[uint64]bool{}
				s.Each(func(m *resultstore.Meta) error {
					there[m.Result] = true
					l := c.lives[m.Result]
					if l == nil || len(l.rows) != len(m.PageRows) || l.promised == 0 && l.dropping == 0 && k >= steps {
						t.Fatalf("cut at %d: a result that was never whole: %x", k, m.Result)
					}
					matches(t, s, m.Result, l)
					return nil
				})
				for id, l := range c.lives {
					must := l.promised > 0 && l.promised <= k && (l.dropping == 0 || k < l.dropping)
					mustnt := how != disk.Cut && l.dropped > 0 && l.dropped <= k
					if must && !there[id] || mustnt && there[id] {
						t.Fatalf("cut at %d of %d, %v, index lost %v: result %x there %v, promised at %d, dropped at %d to %d", k, steps, how, lost, id, there[id], l.promised, l.dropping, l.dropped)
					}
				}
				if v, err := s.Verify(); err != nil || len(v.Faults) > 0 {
					t.Fatalf("cut at %d: %v %v", k, err, v.Faults)
				}
				for more := true; more; compacted++ { // its space comes back
					if more, err = s.Tick(); err != nil {
						t.Fatal(err)
					}
				}
				if dead := s.TotalBytes() - s.LiveBytes(); dead > s.LiveBytes()+int64(len(there)+9)*600+8<<10 {
					t.Fatalf("cut at %d: %d bytes are dead and %d live", k, dead, s.LiveBytes())
				}
				for id := range there {
					matches(t, s, id, c.lives[id])
				}
			}
		}
	}
	if compacted < 2*steps {
		t.Fatal("nothing was compacted")
	}
}

// A disk that refuses writes or syncs now and then, or is full, costs what was being
// written, and nothing that was promised.
func TestFaultyDisk(t *testing.T) {
	for seed := range uint64(30) {
		c := newScript(t, seed, small())
		faults := rand.New(rand.NewPCG(seed, 9))
		c.d.Half = true
		c.d.Fail = func(verb, name string) error {
			if faults.IntN(12) == 0 && verb != "remove" {
				return syscall.ENOSPC
			}
			return nil
		}
		for range 300 {
			c.step()
		}
		c.d.Fail = nil
		for _, id := range c.whole {
			matches(t, c.s, id, c.lives[id])
		}
		s, found, err := resultstore.Open(c.d, c.x, small())
		if err != nil || len(found.Lost) > 0 {
			t.Fatal(err, found)
		}
		for _, id := range c.whole {
			matches(t, s, id, c.lives[id])
		}
	}
}

func TestFlippedBit(t *testing.T) {
	c := newScript(t, 3, resultstore.Options{})
	c.next++
	id := c.next
	c.lives[id] = &life{}
	for range 5 {
		c.write(id)
	}
	if err := c.promise(id); err != nil {
		t.Fatal(err)
	}
	names, _ := c.d.List()
	size, _ := func() (int64, error) { f, _ := c.d.Open(names[0]); return f.Size() }()
	for at := int64(16); at < size; at++ {
		c.d.Flip(names[0], at, uint(at%8))
		for i, want := range c.lives[id].pages {
			if p, err := c.s.Fetch(id, i); err == nil && !bytes.Equal(p, want) {
				t.Fatalf("a bit at %d: page %d was served spoilt", at, i)
			} else if err != nil && !errors.Is(err, resultstore.ErrCorrupt) {
				t.Fatal(err)
			}
		}
		if v, err := c.s.Verify(); err != nil || len(v.Faults) == 0 {
			t.Fatalf("a bit at %d goes unseen: %v", at, err)
		}
		c.d.Flip(names[0], at, uint(at%8))
	}
	matches(t, c.s, id, c.lives[id])
}

func TestOnRealFiles(t *testing.T) {
	path := t.TempDir()
	open := func() (*resultstore.Store, resultstore.Recovery, *resultstore.Dir) {
		d, err := resultstore.LockDir(path)
		if err != nil {
			t.Fatal(err)
		}
		x, err := resultstore.OpenBoltIndex(d.Path("index.db"))
		if err != nil {
			t.Fatal(err)
		}
		s, found, err := resultstore.Open(d, x, small())
		if err != nil {
			t.Fatal(err)
		}
		return s, found, d
	}
	s, _, d := open()
	if _, err := resultstore.LockDir(path); !errors.Is(err, resultstore.ErrInUse) {
		t.Fatal("two programs have one directory: ", err)
	}
	c := &script{t: t, rng: rand.New(rand.NewPCG(5, 1)), d: disk.New(), s: s, lives: map[uint64]*life{}, next: s.FirstResultID()}
	for range 400 {
		c.step()
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	d.Close()
	check := func(rebuilt bool) {
		t.Helper()
		s, found, d := open()
		if found.Results != len(c.whole) || found.IndexRebuilt != rebuilt || len(found.Lost) > 0 {
			t.Fatalf("%d results of %d, %+v", found.Results, len(c.whole), found)
		}
		for _, id := range c.whole {
			matches(t, s, id, c.lives[id])
		}
		if s.FirstResultID() <= c.next {
			t.Fatal("numbers are used again")
		}
		s.Close()
		d.Close()
	}
	check(false)
	if err := os.Truncate(filepath.Join(path, "index.db"), 5000); err != nil {
		t.Fatal(err)
	}
	check(true)
	os.Remove(filepath.Join(path, "index.db"))
	check(true)
	s, _, d = open()
	defer d.Close()
	defer s.Close()
	if n, err := s.GC(2000); err != nil || n != len(c.whole) || s.LiveBytes() != 0 {
		t.Fatalf("%d dropped of %d, %v, %d bytes live", n, len(c.whole), err, s.LiveBytes())
	}
	names, _ := d.List()
	if n := strings.Count(strings.Join(names, " "), ".seg"); n > 1 {
		t.Fatal("left behind: ", names)
	}
}

func TestDirectoryThatCantBeWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	os.WriteFile(path, nil, 0o600)
	if _, err := resultstore.LockDir(filepath.Join(path, "spool")); err == nil {
		t.Fatal("a directory within a file")
	}
}
