package msgpackrpc

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"
)

// recorder records the calls of its methods as text.
type recorder struct{ calls []string }

func (n *recorder) Query(msg uint32, group, id []byte, patience time.Duration, key []byte, keyed bool, statement []byte, _ Fields) {
	n.record("query %d %s %s %v %s %v %s", msg, group, id, patience, key, keyed, statement)
}
func (n *recorder) Page(msg uint32, token []byte, number int, _ Fields) {
	n.record("page %d %s %d", msg, token, number)
}
func (n *recorder) Purge(msg uint32, p Purge, _ Fields) {
	n.record("purge %d %s %v %d %v", msg, p.ID, p.TableGroups, p.BeforeMillis, p.Timeout)
}
func (n *recorder) Alive(msg uint32)               { n.record("alive %d", msg) }
func (n *recorder) Cancel(msg uint32)              { n.record("left %d", msg) }
func (n *recorder) Invalid(msg uint32, why string) { n.record("wrong %d %s", msg, why) }
func (n *recorder) record(form string, a ...any)   { n.calls = append(n.calls, fmt.Sprintf(form, a...)) }

func readAll(p []byte, step int) (*recorder, error) {
	n, received := &recorder{}, []byte(nil)
	for len(p) > 0 {
		k := min(step, len(p))
		received, p = append(received, p[:k]...), p[k:]
		for {
			consumed, err := Read(received, 1<<20, n)
			if err != nil {
				return n, err
			}
			if consumed == 0 {
				break
			}
			received = received[consumed:]
		}
	}
	return n, nil
}

func TestReadsPurgeCalls(t *testing.T) {
	call := func(fields ...string) []byte {
		p := append([]byte{0x94, 0, 5, 0xa5}, "purge\x91"...)
		p = append(p, 0x80|byte(len(fields)/2))
		for _, f := range fields {
			p = append(p, stringEncodings(f)[0]...)
		}
		return p
	}
	for _, x := range []struct {
		fields []string
		want   string
	}{
		{[]string{"patience", "500"}, "purge 5  [] 0 500ms"},
		{[]string{"patience", "500", "tables", "3,7", "before", "1700000000000", "team", "linz"}, "purge 5  [3 7] 1700000000000 500ms"},
		{[]string{"id", "7f3a", "patience", "1"}, "purge 5 7f3a [] 0 1ms"},
		{nil, "wrong 5 no patience"},
		{[]string{"patience", "1", "tables", ""}, "wrong 5 no table groups"},
		{[]string{"patience", "1", "tables", "3,-1"}, "wrong 5 no table groups"},
		{[]string{"patience", "1", "before", "soon"}, "wrong 5 no time before which"},
		{[]string{"patience", "1", "id", "a b"}, "wrong 5 no purge has this id"},
		{[]string{"patience", "1", "id", "a", "tables", "3"}, "wrong 5 an id asks for a purge as it is: tables and before go with a new one"},
	} {
		n, err := readAll(call(x.fields...), 3)
		if got := strings.Join(n.calls, ";"); err != nil || got != x.want {
			t.Errorf("%q: %v %q, not %q", x.fields, err, got, x.want)
		}
	}
}

// stringEncodings returns all encodings of a string, the shortest first.
func stringEncodings(s string) [][]byte {
	var l [][]byte
	if len(s) < 32 {
		l = append(l, append([]byte{0xa0 | byte(len(s))}, s...))
	}
	l = append(l, append([]byte{0xd9, byte(len(s))}, s...))
	l = append(l, append(binary.BigEndian.AppendUint16([]byte{0xda}, uint16(len(s))), s...))
	return append(l, append(binary.BigEndian.AppendUint32([]byte{0xdb}, uint32(len(s))), s...))
}

func query(form int, msg []byte, array4, map3, bin []byte) []byte {
	f := func(s string) []byte { return stringEncodings(s)[min(form, len(stringEncodings(s))-1)] }
	p := append(append(append([]byte{}, array4...), 0), msg...)
	p = append(append(append(p, f("report")...), 0x92), map3...)
	for _, s := range []string{"trace", "9b1f03aa5c7e2d41", "patience", "1500", "entity", "7f3a"} {
		p = append(p, f(s)...)
	}
	return append(append(p, bin...), "SELECT 1"...)
}

func TestReadsEveryEncodingByteByByte(t *testing.T) {
	want := "query 7 report 9b1f03aa5c7e2d41 1.5s 7f3a true SELECT 1"
	heads := [][3][]byte{
		{{0x94}, {0x83}, {0xc4, 8}},
		{{0xdc, 0, 4}, {0xde, 0, 3}, {0xc5, 0, 8}},
		{{0xdd, 0, 0, 0, 4}, {0xdf, 0, 0, 0, 3}, {0xc6, 0, 0, 0, 8}},
	}
	numbers := [][]byte{{7}, {0xcc, 7}, {0xcd, 0, 7}, {0xce, 0, 0, 0, 7}, {0xcf, 0, 0, 0, 0, 0, 0, 0, 7}, {0xd0, 7},
		{0xd1, 0, 7}, {0xd2, 0, 0, 0, 7}, {0xd3, 0, 0, 0, 0, 0, 0, 0, 7}}
	for form := range 4 {
		for _, number := range numbers {
			for _, h := range heads {
				one := query(form, number, h[0], h[1], h[2])
				all := append(append(append([]byte{}, one...), 0x93, 2, 0xad), "cancelRequest"...)
				all = append(append(append(all, 0x91), number...), one...)
				all = append(append(append(all, 0x94, 0, 9, 0xa5), "alive"...), 0x91, 0x80)
				for _, step := range []int{1, 3, len(all)} {
					n, err := readAll(all, step)
					if got := strings.Join(n.calls, "\n"); err != nil || got != want+"\nleft 7\n"+want+"\nalive 9" {
						t.Fatalf("%x by %d: %v %s", all, step, err, got)
					}
				}
			}
		}
	}
}

func TestInvalidCallsAreAnsweredAndInvalidMessagesRefused(t *testing.T) {
	fields := func(names ...string) []byte {
		p := append([]byte{0x94, 0, 5, 0xa1, 'g', 0x92}, 0x80|byte(len(names)/2))
		for _, n := range names {
			p = append(p, stringEncodings(n)[0]...)
		}
		return append(p, 0xc4, 1, ';')
	}
	const trace = "9b1f03aa5c7e2d41"
	for text, want := range map[string]string{
		string(fields("patience", "5")):                                                      "wrong 5 no trace",
		string(fields("trace", "a/0 HTTP/1.1\r\n", "patience", "5")):                         "wrong 5 no trace",
		string(fields("trace", "", "patience", "5")):                                         "wrong 5 no trace",
		string(fields("trace", "a", "patience", "5")):                                        "wrong 5 no trace",
		string(fields("trace", trace+"0", "patience", "5")):                                  "wrong 5 no trace",
		string(fields("trace", "9b1f03aa5c7e2d4g", "patience", "5")):                         "wrong 5 no trace",
		string(fields("trace", trace)):                                                       "wrong 5 no patience",
		string(fields("trace", trace, "patience", "1e3")):                                    "wrong 5 no patience",
		string(fields("trace", trace, "patience", "0x10")):                                   "wrong 5 no patience",
		string(fields("trace", trace, "patience", "0")):                                      "wrong 5 no patience",
		string(fields("trace", trace, "patience", "99999999999999999999")):                   "wrong 5 no patience",
		string(fields("trace", trace, "patience", "5", "trace", trace)):                      "wrong 5 trace given twice",
		string(fields("trace", trace, "patience", "5", "entity", "")):                        "wrong 5 no entity",
		strings.Replace(string(fields("trace", trace, "patience", "5")), "\x01;", "\x00", 1): "wrong 5 no statement",
		string(fields("trace", trace, "patience", "soon")):                                   "wrong 5 no patience",
		string(fields("trace", trace, "patience", "-3")):                                     "wrong 5 no patience",
		string(fields("trace", trace, "patience", "NaN")):                                    "wrong 5 no patience",
		string(fields("trace", trace, "patience", "1e300")):                                  "wrong 5 no patience",
		"\x94\x00\x05\xa1g\x92\x80\xa1x":                                                     "wrong 5 malformed call", // the statement is a string, not binary
		"\x94\x00\x05\x07\x92\x80\xc4\x00":                                                   "wrong 5 malformed call",
		"\x94\x00\x05\xa1g\x91\x80":                                                          "wrong 5 malformed call",
		"\x94\x00\x05\xa1g\xc0":                                                              "wrong 5 malformed call",
		"\x94\x00\x05\xa1g\x92\x81\x01\xa1a\xc4\x00":                                         "wrong 5 malformed call",
		"\x93\x02\xa3hum\x90":                                                                "", // an unknown notification
		"\x93\x02\xadcancelRequest\x90":                                                      "",
		"\x94\x00\x05\xa1g\x92\x81\xa5trace\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xc4\x00":     "wrong 5 malformed call",
	} {
		n, err := readAll([]byte(text), len(text))
		if got := strings.Join(n.calls, ";"); err != nil || got != want {
			t.Errorf("%q: %v %q, not %q", text, err, got, want)
		}
	}
	for _, text := range []string{"GET / HTTP/1.1\r\n", "\xc1", "\x94\x01\x05\xc0\xc0", "\x94\xff", "\x94\x00\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xa1g\x90",
		"\x94\x00\x05\xa1g" + strings.Repeat("\x91", 100) + "\x90"} {
		if _, err := readAll([]byte(text), 1); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	if _, err := Read(append([]byte{0x94, 0, 5, 0xa1, 'g', 0x92, 0x80, 0xc6, 0xff, 0xff, 0xff, 0xff}, make([]byte, 5000)...), 4096, &recorder{}); err == nil {
		t.Error("a message over the size limit was not rejected")
	}
	for what, head := range map[string]string{
		"a length over the limit": "\x94\x00\x05\xa1g\x92\x80\xc6\x03\x93\x87\x00",
		"a map of millions":       "\x94\x00\x05\xa1g\x92\xdf\x00\xff\xff\xff",
		"too many values":         "\x94\x00\x05\xa1g\xdc\x01\xff" + strings.Repeat("\x9f"+strings.Repeat("\xc0", 15), 40),
	} {
		if _, err := Read([]byte(head), 1<<20, &recorder{}); err == nil {
			t.Error(what + " was not rejected")
		}
	}
}

func TestAppendsResponses(t *testing.T) {
	for want, got := range map[string][]byte{
		"\x94\x01\x07\xc0\x92\xc4\x06a\tb\tc\n\x80":                        AppendResult(nil, 7, [][]byte{[]byte("a\tb\tc\n")}),
		"\x94\x01\xcc\x80\x92\xa9Throttled\x81\xa5pause\xa3250\xc0":        AppendDeferral(nil, 128, 250*time.Millisecond),
		"\x94\x01\xcd\x01\x00\x92\xa9Throttled\x80\xc0":                    AppendDeferral(nil, 256, 0),
		"\x94\x01\xce\x00\x01\x00\x00\x92\xa6Failed\x81\xa3why\xa3bad\xc0": AppendFailure(nil, 65536, "bad"),
		"\x94\x01\x08\xc0\x92\xc3\x80":                                     AppendAlive(nil, 8, true),
		"\x94\x01\x08\xc0\x92\xc2\x80":                                     AppendAlive(nil, 8, false),
	} {
		if string(got) != want {
			t.Errorf("%q, not %q", got, want)
		}
	}
	for _, size := range []int{0, 255, 256, 48000, 70000} {
		p := AppendResult(nil, 1, [][]byte{make([]byte, size/2), make([]byte, size-size/2)})
		c := &cursor{data: p, pos: 5, maxValueBytes: 1 << 20}
		if body := c.binaryValue(); len(body) != size || c.err != nil || !bytes.Equal(p[c.pos:], []byte{0x80}) {
			t.Errorf("%d: %d %v", size, len(body), c.err)
		}
	}
}

func TestTableGroupOfStatement(t *testing.T) {
	for text, want := range map[string]int64{
		"SELECT * FROM sales_17.orders":                                                               17,
		"select o.id from stock_part_4.orders o join sales_5.x on 1=1":                                4,
		"INSERT INTO sales_3.orders SELECT * FROM staging.batch WHERE tag = 'sales_9.x'":              3,
		"MERGE INTO d_8.t d using staging.delta s on d.id = s.id":                                     8,
		"select 'it''s sales_1.a', x from \"sales_2\".\"or\"\"ders\"":                                 2,
		"select \"from sales_1.x\" from sales_6.y":                                                    6,
		"-- from sales_1.a\nselect /* from sales_2.b /* nested */ from sales_3.c */ 1 from sales_4.d": 4,
		"UPDATE sales_0.t SET a = 1":                                                                  0,
		"select t_9.id from sales_7.orders t_9":                                                       7,
		"select * from sales_12 . orders":                                                             12,
		"select * from sales_12 /* x */ . /* y */ orders":                                             12,
		"select 1.5, a_3 from x.y":                                                                    NoTableGroup,
		"select * from staging.load_12":                                                               NoTableGroup,
		"select * from sales_12x.orders":                                                              NoTableGroup,
		"select 'open sales_1.x":                                                                      NoTableGroup,
		"":                                                                                            NoTableGroup,
		"select * from s_99999999999999999999.x":                                                      NoTableGroup,
		"delete from only \"a.b_31\".t":                                                               31,
	} {
		if got := TableGroup([]byte(text)); got != want {
			t.Errorf("%q: %d, not %d", text, got, want)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(query(0, []byte{7}, []byte{0x94}, []byte{0x83}, []byte{0xc4, 8}))
	f.Add([]byte("\x93\x02\xadcancelRequest\x91\x07"))
	f.Add([]byte("\x94\x00\x05\xa1g\x92\xdf\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, p []byte) {
		whole, err := readAll(p, len(p)+1)
		single, err1 := readAll(p, 1)
		if strings.Join(whole.calls, ";") != strings.Join(single.calls, ";") || (err == nil) != (err1 == nil) {
			t.Fatalf("%q and %q, %v and %v", whole.calls, single.calls, err, err1)
		}
	})
}

func FuzzTableGroup(f *testing.F) {
	f.Add([]byte("select \"a\"\"b_3\".c /* -- 'x' */ from 'y"))
	f.Fuzz(func(t *testing.T, p []byte) {
		if n := TableGroup(p); n < NoTableGroup {
			t.Fatal(n)
		}
	})
}

func TestFindsQueriesThatLackOnlyStatementBytes(t *testing.T) {
	query := "\x94\x00\xcc\xc8\xa6lookup\x92\x81\xa5trace\xa1x\xc4\x0a0123456789"
	statementAt := len(query) - 10
	for n := range len(query) {
		id, missing, ok := PartialQuery([]byte(query[:n]), 1<<10)
		if ok != (n >= statementAt) || ok && (id != 200 || missing != len(query)-n) {
			t.Errorf("%d of %d bytes: number %d, %d missing, %v", n, len(query), id, missing, ok)
		}
	}
	for _, other := range []string{query, query + "\x94", "\x93\x02\xadcancelRequest\x91",
		"\x94\x01\x05\xa1g\x92\x80\xc4\x0a0",
		"\x94\x00\x05\xa5alive\x91", "\x94\x00\x05\xa1g\x92\x80\xc5\x7f\xff0", "\x94\x00\x05\xa1g\x92\x80\xaa0"} {
		if _, _, ok := PartialQuery([]byte(other), 1<<10); ok {
			t.Errorf("%q was taken for the start of a query", other)
		}
	}
}
