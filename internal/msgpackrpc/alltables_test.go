package msgpackrpc

import (
	"fmt"
	"slices"
	"testing"
)

func TestTableGroups(t *testing.T) {
	for statement, want := range map[string]string{
		"select 1":                "[] [] true",
		"select * from sales_3.a": "[3] [] true",
		"select * from sales_3.a x, sales_4.b, sales_3.c where x.y in (1, 2)":            "[3 4] [] true",
		"SELECT a FROM sales_3.a JOIN (sales_5.b LEFT JOIN sales_6.c USING (id)) ON a=b": "[3 5 6] [] true",
		"select * from (select * from d_1.a) t_9 join d_2.b as u_8 on t_9.id = u_8.id":   "[1 2] [] true",
		"insert into d_4.t (a, b) select a, b from d_3.u, d_2.v":                         "[2 3] [4] true",
		"update only d_4.t set a = b.x from d_5.b where t.id = b.id":                     "[5] [4] true",
		"create table if not exists d_7.n as select * from d_3.u":                        "[3] [7] true",
		"create materialized view d_7.n as select * from d_3.u":                          "[3] [7] true",
		"copy d_4.t (a) from 's3://d_9.x'":                                               "[] [4] true",
		"copy d_4.t from stdin":                                                          "[] [4] true",
		"copy (select * from d_4.t) to 'x'":                                              "[4] [] true",
		"merge into d_8.d x using staging.delta s on x.id = s.id when matched then update set a = 1 when not matched then insert (a) values (2)": "[] [8] true",
		"delete from d_3.a using d_4.b where a.id = b.id":                                                 "[3 4] [] true",
		"with r as (select * from d_1.a), s as materialized (select * from r) select * from s join d_2.b": "[1 2] [] true",
		"select extract(year from o.day), trim(both from name) from d_1.o o where a is distinct from b.x": "[1] [] true",
		"select 'from d_9.x' /* from d_8.y */ from \"d_1\".\"select\" -- join d_7.z":                      "[1] [] true",
		"select * from db.d_1.a where exists (select 1 from d_2.b)":                                       "[1 2] [] true",
		"select d_6.f(x) from d_1.a": "[1 6] [] true",
		"insert into d_4.t select * from d_3.u on conflict (id) do update set a = 1; select * from d_5.c;": "[3 5] [4] true",
		"select * from d_1.a for update":                 "[1] [] true",
		"select * into d_5.x from d_1.a":                 "[1] [5] true",
		"select * from orders":                           "[] [] false",
		"select * from d_1.a, orders":                    "[1] [] false",
		"select * from public.orders":                    "[] [] false",
		"select * from d_1.a, lateral f(a.x)":            "[1] [] false",
		"select * from d_1.f(3)":                         "[1] [] false",
		"insert into staging.x select * from d_3.u":      "[3] [] false",
		"with r as (select 1) select 1; select * from r": "[] [] false",
		"select * from [d_3].a":                          "[] [] false",
		"update t set a = 1":                             "[] [] false",
		"select * from":                                  "[] [] false",
	} {
		r, w, known := TableGroups([]byte(statement))
		if got := fmt.Sprint(r, w, known); got != want {
			t.Errorf("%s: %s, want %s", statement, got, want)
		}
	}
}

// It ends, and what it gives is in order, whatever the text.
func FuzzTableGroups(f *testing.F) {
	f.Add([]byte("select * from sales_3.a, (sales_4.b) join c_5.d using (x) where \"from"))
	f.Add([]byte("insert into d_4.t (((("))
	f.Fuzz(func(t *testing.T, p []byte) {
		read, written, _ := TableGroups(p)
		if !slices.IsSorted(read) || !slices.IsSorted(written) {
			t.Fatalf("%v %v", read, written)
		}
	})
}
