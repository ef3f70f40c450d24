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

// fairQueueConfig converts the settings of the fair queue.
func fairQueueConfig(f *Fairness) *fairqueue.Config {
	var walk func(l []Tenant) []fairqueue.Tenant
	walk = func(l []Tenant) (all []fairqueue.Tenant) {
		for _, t := range l {
			all = append(all, fairqueue.Tenant{Name: t.Name, Weight: t.Weight, Quota: t.Budget, Burst: t.Burst,
				MaxWaiting: t.MaxWaiting,
				Addresses:  prefixes(t.Addresses), Children: walk(t.Tenants)})
		}
		return all
	}
	return &fairqueue.Config{Tenants: walk(f.Tenants), DefaultTenant: f.Default,
		AgeingLimit: time.Duration(f.AgeingLimit), MaxWaiting: f.MaxWaiting, TrustedAddresses: prefixes(f.Trusted),
		OverrunFactor: f.OverrunFactor, NotifyThreshold: f.NotifyThreshold}
}

// ControllerConfig returns the configuration of a controller that starts at a time.
func (x *Setup) ControllerConfig(started time.Time) controller.Config {
	seed, _ := strconv.ParseUint(x.Seed, 16, 64)
	config := controller.Config{Seed: seed, MemoryMB: x.MemoryMB(),
		MaxDescriptors:   cmp.Or(x.Limits.Sockets, 4096),
		DiscoveryAddress: x.DiscoveryAddress,
		Settings:         x.settings(), StartedAt: started, CacheLimits: x.Answers.limits(), NewUniqueID: randomID}
	for _, set := range x.Clients {
		config.ClientLimits = append(config.ClientLimits, controller.ClientLimits{Prefixes: prefixes(set.Addresses),
			MaxOpenQueries: set.MaxOpenQueries, MaxMessagesPerSweep: set.MaxMessages,
			IdleTimeout: time.Duration(set.IdleTimeout), MessageTimeout: time.Duration(set.MessageTimeout)})
	}
	if f := x.Fairness; f != nil {
		config.Tenants = fairQueueConfig(f)
		config.FieldNames = controller.FieldNames{Tenant: f.Fields.Tenant, NotifyWait: f.Fields.NotifyWait,
			RepeatOf: f.Fields.RepeatOf}
	}
	config.FieldNames.EstimatedWork, config.FieldNames.EstimatedMemory = x.Estimates.Work, x.Estimates.Memory
	if x.Shares != nil {
		config.FieldNames.Customer = x.Shares.Field
	}
	return config
}

// FairQueueConfig returns the tenants, which a reload replaces. It is nil without fairness.
func (x *Setup) FairQueueConfig() *fairqueue.Config {
	if x.Fairness == nil {
		return nil
	}
	return fairQueueConfig(x.Fairness)
}

// Cores returns the number of cores that the program may use.
func (x *Setup) Cores() float64 { return cmp.Or(x.Limits.Cores, 1) }

// MemoryMB returns the memory that the program may use.
func (x *Setup) MemoryMB() float64 { return cmp.Or(x.Limits.MemoryMB, defaultMemoryMB) }

const defaultMemoryMB = 512

// settings returns the scheduler's settings by their internal names.
func (x *Setup) settings() map[string]string {
	e := x.Engines
	locations := e.Locations
	if len(locations) == 0 {
		locations = []string{"here"}
	}
	report := e.Report
	switch {
	case report != "":
	case e.AllowedActions != nil && !slices.Contains(e.AllowedActions, "probe"):
		report = "off" // load reports come with health checks only
	default:
		report = "probed"
	}
	result := map[string]string{"gateways": decimal(float64(e.Controllers), 1), "own.number": "0",
		"groups":    strconv.Itoa(len(x.Groups)),
		"locations": strings.Join(locations, ","), "tick": "5", "list.how": "pushed",
		"submissions.most": decimal(float64(e.MaxAttempts), 3), "return.most": milliseconds(e.MaxRetryAfter, time.Minute),
		"connect.timeout": milliseconds(e.ConnectTimeout, 250*time.Millisecond),
		"idle.most":       milliseconds(e.IdleTimeout, 15*time.Second),
		"note.period":     milliseconds(e.NotePeriod, 2*time.Second), "drain.grace": milliseconds(e.DrainGrace, time.Second),
		"key.rest": milliseconds(e.KeyCooldown, 300*time.Millisecond), "report.how": report,
		"memory.short": cmp.Or(e.WhenMemoryShort, "swap"), "grant.most": decimal(e.MaxGrantFraction, 0.4),
		"cold.from": decimal(e.SlowStart.InitialCapacity, 0.33),
		"cold.span": milliseconds(e.SlowStart.Duration, 15*time.Second), "cold.multiple": decimal(e.SlowStart.WorkFactor, 3),
		"cold.window": milliseconds(e.SlowStart.Window, time.Second), "budget.least": decimal(e.RetryBudget.Minimum, 0),
		"budget.share": decimal(e.RetryBudget.Ratio, 0), "budget.span": milliseconds(e.RetryBudget.Window, 0)}
	if e.Location != "" {
		result["own.location"] = strconv.Itoa(slices.Index(locations, e.Location))
	}
	if e.ReportFields != nil {
		result["report.figures"] = strings.Join(e.ReportFields, ",")
	}
	result["answers.cost"] = strconv.FormatBool(e.QueryReports == nil ||
		slices.Contains(e.QueryReports, "costs"))
	if e.QueryReports != nil && !slices.Contains(e.QueryReports, "notes") {
		result["note.period"] = "0"
	}
	if x.Shares != nil {
		result["teams"], result["over.worth"] = strconv.Itoa(len(x.Shares.Customers)),
			strconv.FormatFloat(x.Shares.OverQuotaWeight, 'f', -1, 64)
		for i, customer := range x.Shares.Customers {
			at := "team." + strconv.Itoa(i) + "."
			result[at+"name"], result[at+"quota"] = customer.Name, decimal(customer.Rate, 0)
		}
	}
	for _, m := range engineActions {
		result["may."+m] = strconv.FormatBool(e.AllowedActions == nil || slices.Contains(e.AllowedActions, m))
	}
	var kinds, cores, memory []string
	for _, k := range e.Kinds {
		kinds, cores, memory = append(kinds, k.Name), append(cores, decimal(k.Cores, 1)),
			append(memory, decimal(k.MemoryMB, 0))
	}
	result["kinds"], result["kind.cores"], result["kind.memory"] = strings.Join(kinds, ","),
		strings.Join(cores, ","),
		strings.Join(memory, ",")
	x.addGroupSettings(result, locations, kinds)
	return result
}

// addGroupSettings adds the settings of the resource groups. Lists of locations and kinds contain
// indexes of locations and kinds.
func (x *Setup) addGroupSettings(result map[string]string, locations, kinds []string) {
	var threads, loads, waits []string
	for i, g := range x.Groups {
		at := "group." + strconv.Itoa(i) + "."
		threads = append(threads, decimal(g.Threads, 1))
		loads, waits = append(loads, strconv.FormatBool(g.IsLoad)),
			append(waits, strconv.FormatBool(g.WaitsForLoads))
		result[at+"name"] = g.Name
		result[at+"value"], result[at+"stretch"] = decimal(g.PriorityWeight, 1), decimal(g.ObjectiveStretch, 0)
		result[at+"effect"], result[at+"scope"] = g.Effect, cmp.Or(g.Scope, "all")
		result[at+"target"], result[at+"timeout"] = milliseconds(g.Objective, time.Second),
			milliseconds(g.Timeout, 30*time.Second)
		result[at+"window"], result[at+"in-order"] = milliseconds(g.KeyWindow, 5*time.Second),
			strconv.FormatBool(g.FIFOByKey)
		if g.LateValueShare != nil {
			result[at+"late-share"] = strconv.FormatFloat(*g.LateValueShare, 'f', -1, 64)
		}
		if len(g.Locations) > 0 {
			result[at+"locations"] = indexes(g.Locations, locations)
		}
		if len(g.Kinds) > 0 {
			result[at+"kinds"] = indexes(g.Kinds, kinds)
		}
	}
	result["threads"], result["loads"], result["waits"] = strings.Join(threads, ","), strings.Join(loads, ","),
		strings.Join(waits, ",")
}

// indexes returns the indexes of names in all, separated by commas.
func indexes(names, all []string) string {
	var at []string
	for _, name := range names {
		for i, x := range all {
			if x == name {
				at = append(at, strconv.Itoa(i))
			}
		}
	}
	return strings.Join(at, ",")
}

// milliseconds formats a duration in milliseconds. A missing duration has the value of absent.
func milliseconds(t Duration, absent time.Duration) string {
	return strconv.FormatFloat(float64(t.orDefault(absent))/float64(time.Millisecond), 'f', -1, 64)
}

// decimal formats a number. A missing number, which is 0, has the value of absent.
func decimal(a, absent float64) string { return strconv.FormatFloat(cmp.Or(a, absent), 'f', -1, 64) }

// PartsNeedingRestart lists the parts of next that differ and that a reload can't change: all
// but the address of the discovery service and the tenants.
func (x *Setup) PartsNeedingRestart(next *Setup) (parts []string) {
	for name, same := range map[string]bool{
		"name": x.Name == next.Name, "listen": x.Listen == next.Listen, "seed": x.Seed == next.Seed,
		"log":    x.LogLevel == next.LogLevel,
		"limits": x.Limits == next.Limits, "engines": reflect.DeepEqual(x.Engines, next.Engines),
		"groups": reflect.DeepEqual(x.Groups, next.Groups), "clients": reflect.DeepEqual(x.Clients, next.Clients),
		"shares": reflect.DeepEqual(x.Shares, next.Shares), "estimates": x.Estimates == next.Estimates,
		"spool": reflect.DeepEqual(x.Spool, next.Spool), "answers": reflect.DeepEqual(x.Answers, next.Answers),
		"fleet":     reflect.DeepEqual(x.Fleet, next.Fleet),
		"placement": reflect.DeepEqual(x.Placement, next.Placement), "fairness.fields": x.fields() == next.fields(),
		"fairness (added or removed)": (x.Fairness == nil) == (next.Fairness == nil),
	} {
		if !same {
			parts = append(parts, name)
		}
	}
	slices.Sort(parts)
	return parts
}

func (x *Setup) fields() Fields {
	if x.Fairness == nil {
		return Fields{}
	}
	return x.Fairness.Fields
}
