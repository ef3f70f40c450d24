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
func fairQueueConfig(f *Fairness) *fairqueue.Config {
	var walk func(l []Team) []fairqueue.Tenant
	walk = func(l []Team) (all []fairqueue.Tenant) {
		for _, t := range l {
			all = append(all, fairqueue.Tenant{Name: t.Name, Weight: t.Weight, Quota: t.Budget, Burst: t.Burst, MaxWaiting: t.MaxWaiting,
				Addresses: prefixes(t.Addresses), Children: walk(t.Teams)})
		}
		return all
	}
	return &fairqueue.Config{Tenants: walk(f.Teams), DefaultTenant: f.Default, AgeingLimit: time.Duration(f.AgeingLimit), MaxWaiting: f.MaxWaiting, TrustedAddresses: prefixes(f.Trusted),
		OverrunFactor: f.OverrunFactor, NotifyThreshold: f.NotifyThreshold}
}

// Means are what the controller starts with, started at a time.
func (x *Setup) ControllerConfig(started time.Time) controller.Config {
	seed, _ := strconv.ParseUint(x.Seed, 16, 64)
	m := controller.Config{Seed: seed, MemoryMB: x.MemoryMB(), MaxDescriptors: cmp.Or(x.Limits.Sockets, 4096), DiscoveryAddress: x.DiscoveryAddress,
		Settings: x.settings(), StartedAt: started, CacheLimits: x.Answers.limits(), NewUniqueID: randomID}
	for _, set := range x.Clients {
		m.ClientLimits = append(m.ClientLimits, controller.ClientLimits{Prefixes: prefixes(set.Addresses), MaxOpenQueries: set.MaxOpenQueries, MaxMessagesPerSweep: set.MaxMessages,
			IdleTimeout: time.Duration(set.IdleTimeout), MessageTimeout: time.Duration(set.MessageTimeout)})
	}
	if f := x.Fairness; f != nil {
		m.Tenants = fairQueueConfig(f)
		m.FieldNames = controller.FieldNames{Tenant: f.Fields.Team, NotifyWait: f.Fields.NotifyWait, RepeatOf: f.Fields.RepeatOf}
	}
	m.FieldNames.EstimatedWork, m.FieldNames.EstimatedMemory = x.Estimates.Work, x.Estimates.Memory
	if x.Shares != nil {
		m.FieldNames.Customer = x.Shares.Field
	}
	return m
}

// Shape is the teams alone, nil without any: what a reload takes over.
func (x *Setup) FairQueueConfig() *fairqueue.Config {
	if x.Fairness == nil {
		return nil
	}
	return fairQueueConfig(x.Fairness)
}

// Cores is how many the program may use.
func (x *Setup) Cores() float64 { return cmp.Or(x.Limits.Cores, 1) }

// MemoryMB is how much memory the program may use.
func (x *Setup) MemoryMB() float64 { return cmp.Or(x.Limits.MemoryMB, defaultMemoryMB) }

const defaultMemoryMB = 512

// facts are the settings in the decisions' words.
func (x *Setup) settings() map[string]string {
	e := x.Engines
	ms := func(t Duration, absent time.Duration) string {
		return strconv.FormatFloat(float64(t.orDefault(absent))/float64(time.Millisecond), 'f', -1, 64)
	}
	num := func(a, absent float64) string { return strconv.FormatFloat(cmp.Or(a, absent), 'f', -1, 64) }
	locations := e.Locations
	if len(locations) == 0 {
		locations = []string{"here"}
	}
	report := e.Report
	switch {
	case report != "":
	case e.AllowedActions != nil && !slices.Contains(e.AllowedActions, "probe"):
		report = "off" // there is nothing to be had unasked
	default:
		report = "probed"
	}
	f := map[string]string{"gateways": num(float64(e.Controllers), 1), "own.number": "0", "groups": strconv.Itoa(len(x.Groups)),
		"locations": strings.Join(locations, ","), "tick": "5", "list.how": "pushed",
		"submissions.most": num(float64(e.MaxSubmissions), 3), "return.most": ms(e.MaxRetryDelay, time.Minute),
		"connect.timeout": ms(e.ConnectTimeout, 250*time.Millisecond), "idle.most": ms(e.IdleTimeout, 15*time.Second),
		"note.period": ms(e.NoteInterval, 2*time.Second), "drain.grace": ms(e.DrainGrace, time.Second),
		"key.rest": ms(e.KeyRest, 300*time.Millisecond), "report.how": report,
		"memory.short": cmp.Or(e.WhenMemoryShort, "swap"), "grant.most": num(e.MaxMemoryShare, 0.4), "cold.from": num(e.WarmUp.InitialCapacity, 0.33),
		"cold.span": ms(e.WarmUp.Duration, 15*time.Second), "cold.multiple": num(e.WarmUp.MaxBurst, 3),
		"cold.window": ms(e.WarmUp.Window, time.Second), "budget.least": num(e.RetryBudget.Minimum, 0),
		"budget.share": num(e.RetryBudget.Share, 0), "budget.span": ms(e.RetryBudget.Span, 0)}
	if e.Location != "" {
		f["own.location"] = strconv.Itoa(slices.Index(locations, e.Location))
	}
	if e.ReportFields != nil {
		f["report.figures"] = strings.Join(e.ReportFields, ",")
	}
	f["answers.cost"] = strconv.FormatBool(e.QueryReports == nil || slices.Contains(e.QueryReports, "costs"))
	if e.QueryReports != nil && !slices.Contains(e.QueryReports, "notes") {
		f["note.period"] = "0"
	}
	if x.Shares != nil {
		f["teams"], f["over.worth"] = strconv.Itoa(len(x.Shares.Customers)), strconv.FormatFloat(x.Shares.OverShareValue, 'f', -1, 64)
		for i, who := range x.Shares.Customers {
			at := "team." + strconv.Itoa(i) + "."
			f[at+"name"], f[at+"quota"] = who.Name, num(who.Rate, 0)
		}
	}
	for _, m := range engineActions {
		f["may."+m] = strconv.FormatBool(e.AllowedActions == nil || slices.Contains(e.AllowedActions, m))
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
		loads, waits = append(loads, strconv.FormatBool(g.Load)), append(waits, strconv.FormatBool(g.WaitsForLoad))
		f[at+"name"], f[at+"value"], f[at+"stretch"] = g.Name, num(g.Value, 1), num(g.Stretch, 0)
		f[at+"effect"], f[at+"scope"] = g.Effect, cmp.Or(g.Scope, "all")
		f[at+"target"], f[at+"timeout"] = ms(g.Target, time.Second), ms(g.Timeout, 30*time.Second)
		f[at+"window"], f[at+"in-order"] = ms(g.Window, 5*time.Second), strconv.FormatBool(g.InOrder)
		if g.LateValueShare != nil {
			f[at+"late-share"] = strconv.FormatFloat(*g.LateValueShare, 'f', -1, 64)
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
func (x *Setup) PartsNeedingRestart(next *Setup) (what []string) {
	for name, same := range map[string]bool{
		"name": x.Name == next.Name, "listen": x.Listen == next.Listen, "seed": x.Seed == next.Seed, "log": x.LogLevel == next.LogLevel,
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
