package setup

import (
	"cmp"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/fairqueue"
)

// shapeOf is the shape that fairness is given.
func shapeOf(f *Fairness) *fairqueue.Config {
	var walk func(l []Team) []fairqueue.Tenant
	walk = func(l []Team) (all []fairqueue.Tenant) {
		for _, t := range l {
			all = append(all, fairqueue.Tenant{Name: t.Name, Weight: t.Weight, Quota: t.Budget, Burst: t.Burst, MaxWaiting: t.Waiting,
				Addresses: prefixes(t.Addresses), Children: walk(t.Teams)})
		}
		return all
	}
	return &fairqueue.Config{Tenants: walk(f.Teams), DefaultTenant: f.Default, AgeingLimit: time.Duration(f.Age), MaxWaiting: f.Waiting, TrustedAddresses: prefixes(f.Trusted),
		OverrunFactor: f.Overrun, NotifyThreshold: f.Tell}
}

// Means are what the controller starts with, started at a time.
func (x *Setup) Means(started time.Time) controller.Config {
	seed, _ := strconv.ParseUint(x.Seed, 16, 64)
	m := controller.Config{Seed: seed, MemoryMB: x.MemoryMB(), MaxDescriptors: cmp.Or(x.Limits.Sockets, 4096), DiscoveryAddress: x.Feed,
		Settings: x.facts(), StartedAt: started, CacheLimits: x.Answers.limits(), NewUniqueID: draw}
	for _, set := range x.Clients {
		m.ClientLimits = append(m.ClientLimits, controller.ClientLimits{Prefixes: prefixes(set.Addresses), MaxOpenQueries: set.Open, MaxMessagesPerSweep: set.Messages,
			IdleTimeout: time.Duration(set.Idle), MessageTimeout: time.Duration(set.Message)})
	}
	if f := x.Fairness; f != nil {
		m.Tenants = shapeOf(f)
		m.FieldNames = controller.FieldNames{Tenant: f.Fields.Team, NotifyWait: f.Fields.Tell, RepeatOf: f.Fields.Again}
	}
	m.FieldNames.EstimatedWork, m.FieldNames.EstimatedMemory = x.Estimates.Work, x.Estimates.Memory
	if x.Shares != nil {
		m.FieldNames.Customer = x.Shares.Field
	}
	return m
}

// Shape is the teams alone, nil without any: what a reload takes over.
func (x *Setup) Shape() *fairqueue.Config {
	if x.Fairness == nil {
		return nil
	}
	return shapeOf(x.Fairness)
}

// Cores is how many the program may use.
func (x *Setup) Cores() float64 { return cmp.Or(x.Limits.Cores, 1) }

// MemoryMB is how much memory the program may use.
func (x *Setup) MemoryMB() float64 { return cmp.Or(x.Limits.MemoryMB, usualMemoryMB) }

const usualMemoryMB = 512

// facts are the settings in the decisions' words.
func (x *Setup) facts() map[string]string {
	e := x.Engines
	ms := func(t Span, absent time.Duration) string {
		return strconv.FormatFloat(float64(t.or(absent))/float64(time.Millisecond), 'f', -1, 64)
	}
	num := func(a, absent float64) string { return strconv.FormatFloat(cmp.Or(a, absent), 'f', -1, 64) }
	locations := e.Locations
	if len(locations) == 0 {
		locations = []string{"here"}
	}
	report := e.Report
	switch {
	case report != "":
	case e.May != nil && !slices.Contains(e.May, "probe"):
		report = "off" // there is nothing to be had unasked
	default:
		report = "probed"
	}
	f := map[string]string{"gateways": num(float64(e.Controllers), 1), "own.number": "0", "groups": strconv.Itoa(len(x.Groups)),
		"locations": strings.Join(locations, ","), "tick": "5", "list.how": "pushed",
		"submissions.most": num(float64(e.Submissions), 3), "return.most": ms(e.Pause, time.Minute),
		"connect.timeout": ms(e.Connect, 250*time.Millisecond), "idle.most": ms(e.Idle, 15*time.Second),
		"note.period": ms(e.Notes, 2*time.Second), "drain.grace": ms(e.Grace, time.Second),
		"key.rest": ms(e.KeyRest, 300*time.Millisecond), "report.how": report,
		"memory.short": cmp.Or(e.Short, "swap"), "grant.most": num(e.Grant, 0.4), "cold.from": num(e.Cold.From, 0.33),
		"cold.span": ms(e.Cold.Span, 15*time.Second), "cold.multiple": num(e.Cold.Multiple, 3),
		"cold.window": ms(e.Cold.Window, time.Second), "budget.least": num(e.Budget.Least, 0),
		"budget.share": num(e.Budget.Share, 0), "budget.span": ms(e.Budget.Span, 0)}
	if e.Location != "" {
		f["own.location"] = strconv.Itoa(slices.Index(locations, e.Location))
	}
	if e.Figures != nil {
		f["report.figures"] = strings.Join(e.Figures, ",")
	}
	f["answers.cost"] = strconv.FormatBool(e.Tells == nil || slices.Contains(e.Tells, "costs"))
	if e.Tells != nil && !slices.Contains(e.Tells, "notes") {
		f["note.period"] = "0"
	}
	if x.Shares != nil {
		f["teams"], f["over.worth"] = strconv.Itoa(len(x.Shares.Customers)), strconv.FormatFloat(x.Shares.Over, 'f', -1, 64)
		for i, who := range x.Shares.Customers {
			at := "team." + strconv.Itoa(i) + "."
			f[at+"name"], f[at+"quota"] = who.Name, num(who.Rate, 0)
		}
	}
	for _, m := range allowed {
		f["may."+m] = strconv.FormatBool(e.May == nil || slices.Contains(e.May, m))
	}
	var kinds, cores, memory, threads, loads, waits []string
	for _, k := range e.Kinds {
		kinds, cores, memory = append(kinds, k.Name), append(cores, num(k.Cores, 1)), append(memory, num(k.MemoryMB, 0))
	}
	places := func(l, all []string) string {
		var at []string
		for _, name := range l {
			for i, x := range all {
				if x == name {
					at = append(at, strconv.Itoa(i))
				}
			}
		}
		return strings.Join(at, ",")
	}
	for i, g := range x.Groups {
		at := "group." + strconv.Itoa(i) + "."
		threads = append(threads, num(g.Threads, 1))
		loads, waits = append(loads, strconv.FormatBool(g.Load)), append(waits, strconv.FormatBool(g.Waits))
		f[at+"name"], f[at+"value"], f[at+"stretch"] = g.Name, num(g.Value, 1), num(g.Stretch, 0)
		f[at+"effect"], f[at+"scope"] = g.Effect, cmp.Or(g.Scope, "all")
		f[at+"target"], f[at+"timeout"] = ms(g.Target, time.Second), ms(g.Timeout, 30*time.Second)
		f[at+"window"], f[at+"in-order"] = ms(g.Window, 5*time.Second), strconv.FormatBool(g.InOrder)
		if g.Late != nil {
			f[at+"late-share"] = strconv.FormatFloat(*g.Late, 'f', -1, 64)
		}
		if len(g.Locations) > 0 {
			f[at+"locations"] = places(g.Locations, locations)
		}
		if len(g.Kinds) > 0 {
			f[at+"kinds"] = places(g.Kinds, kinds)
		}
	}
	f["kinds"], f["kind.cores"], f["kind.memory"] = strings.Join(kinds, ","), strings.Join(cores, ","), strings.Join(memory, ",")
	f["threads"], f["loads"], f["waits"] = strings.Join(threads, ","), strings.Join(loads, ","), strings.Join(waits, ",")
	return f
}

// Fixed lists what differs in another set-up and can't be changed while running:
// all but the feed and the teams.
func (x *Setup) Fixed(next *Setup) (what []string) {
	for name, same := range map[string]bool{
		"name": x.Name == next.Name, "listen": x.Listen == next.Listen, "seed": x.Seed == next.Seed, "log": x.Log == next.Log,
		"limits": x.Limits == next.Limits, "engines": reflect.DeepEqual(x.Engines, next.Engines),
		"groups": reflect.DeepEqual(x.Groups, next.Groups), "clients": reflect.DeepEqual(x.Clients, next.Clients),
		"shares": reflect.DeepEqual(x.Shares, next.Shares), "estimates": x.Estimates == next.Estimates,
		"spool": reflect.DeepEqual(x.Spool, next.Spool), "answers": reflect.DeepEqual(x.Answers, next.Answers), "fleet": reflect.DeepEqual(x.Fleet, next.Fleet),
		"placement": reflect.DeepEqual(x.Placement, next.Placement), "fairness.fields": x.fields() == next.fields(), "fairness, there or not": (x.Fairness == nil) == (next.Fairness == nil),
	} {
		if !same {
			what = append(what, name)
		}
	}
	slices.Sort(what)
	return what
}

func (x *Setup) fields() Fields {
	if x.Fairness == nil {
		return Fields{}
	}
	return x.Fairness.Fields
}
