package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/cli"
	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/discovery"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/setup"
)

// planCommand prints the effects of a policy without applying it.
func (d *controlClient) planCommand() *cobra.Command {
	alone := false
	c := &cobra.Command{Use: "plan FILE --setup SETUP",
		Short: "Show the effects of a policy without applying it", Args: cobra.ExactArgs(1),
		Long: "Check a policy against a controller's set-up and show the effects of its placement rules: which\n" +
			"engines and controllers a team would lose, where retained data would be purged, which fraction of\n" +
			"the engines' threads each team could use, and which teams could use none. The command requests\n" +
			"the policy in force, the controllers and the bindings from the fleet, and the engines from the\n" +
			"discovery service. Exit status 3: the policy can't be applied, or a team would have no engine\n" +
			"or controller.",
		RunE: func(c *cobra.Command, args []string) error {
			if d.setupFile == "" {
				return errors.New("--setup is missing: give the set-up to check the policy against")
			}
			own, err := setup.Load(d.setupFile)
			if err != nil {
				return err
			}
			if own.IsControlProcess() {
				return fmt.Errorf("%s is the set-up of a control process, which has no teams or engines to check "+
					"a policy against: name a controller's set-up", d.setupFile)
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			next, _, _, err := setup.ParsePolicy(args[0], text, own)
			if err != nil {
				return cli.WithExitCode(3, withRemedy(err))
			}
			if alone {
				if d.printAsJSON {
					return printJSON(c, map[string]bool{"good": true})
				}
				_, err = fmt.Fprintln(c.OutOrStdout(), args[0]+": good")
				return err
			}
			current, input, err := d.fleetState(c, own)
			if err != nil {
				return err
			}
			currentRules, _ := current.Rules.([]residency.Rule)
			nextRules, _ := next.Rules.([]residency.Rule)
			plan := residency.PlanChange(currentRules, nextRules, input)
			if d.printAsJSON {
				err = printJSON(c, plan)
			} else if len(plan.Rows) == 0 {
				_, err = fmt.Fprintln(c.OutOrStdout(), args[0]+": good; it binds no team to any site")
			} else {
				_, err = fmt.Fprint(c.OutOrStdout(), args[0]+": good\n"+plan.Table())
			}
			if len(plan.TenantsWithoutSite) > 0 && err == nil {
				return cli.ExitError{Code: 3}
			}
			return err
		}}
	c.Flags().BoolVar(&alone, "alone", false,
		"check only the file, without requests to the fleet and the discovery service")
	return c
}

// fleetState requests the policy in force, the controllers, the bindings and the engines.
func (d *controlClient) fleetState(c *cobra.Command, own *setup.Setup) (current *controller.Policy,
	input residency.PlanInput, err error) {
	policy, err := d.send(c, &fleet.Request{Kind: "policy"})
	if err != nil {
		return nil, input, err
	}
	if current, _, _, err = setup.ParsePolicy("the policy in force", policy.Policy, own); err != nil {
		return nil, input, withRemedy(err)
	}
	status, err := d.send(c, &fleet.Request{Kind: "status"})
	if err != nil {
		return nil, input, err
	}
	if status.Status == nil {
		return nil, input, fmt.Errorf("the controller returned no status: %s", status.Reason)
	}
	for _, m := range status.Status.Members {
		if m.ClientAddress != "" { // a control process has none and serves no queries
			input.Controllers = append(input.Controllers, m.Member)
		}
	}
	input.Bindings = status.Status.Bindings
	input.Engines, err = activeEngines(own, discoveryTimeout)
	return current, input, err
}

// discoveryTimeout bounds the connection attempt to the discovery service, and after it the time until
// the service has listed all engines.
const discoveryTimeout = 5 * time.Second

// activeEngines returns the engines that the discovery service lists as active.
func activeEngines(own *setup.Setup, within time.Duration) ([]residency.Engine, error) {
	conn, err := net.DialTimeout("tcp", own.DiscoveryAddress, within)
	if err != nil {
		return nil, fmt.Errorf("discovery service: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write(discovery.AppendSubscribe(nil, 0)); err != nil {
		return nil, fmt.Errorf("discovery service: %w", err)
	}
	h := &engineCollector{coresByKind: map[string]float64{}, engines: map[string]residency.Engine{}}
	for _, k := range own.Engines.Kinds {
		h.coresByKind[k.Name] = k.Cores
	}
	for in := bufio.NewReader(conn); !h.complete || h.current < h.last; {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return nil, fmt.Errorf("discovery service: %w", err)
		}
		if _, err := discovery.Read(line, len(line), h); err != nil {
			return nil, fmt.Errorf("discovery service: %w", err)
		}
	}
	var l []residency.Engine
	for _, e := range h.engines {
		l = append(l, e)
	}
	return l, nil
}

// engineCollector collects the active engines from discovery messages.
type engineCollector struct {
	coresByKind   map[string]float64
	engines       map[string]residency.Engine
	current, last int64 // numbers of the event being read and of the latest event
	complete      bool  // an event that lists all engines has begun
}

// BeginEvent begins an event. A whole event lists all engines and replaces those collected before. The
// result is always true: no event is skipped.
func (h *engineCollector) BeginEvent(number int64, whole bool) bool {
	if whole {
		h.complete = true
		clear(h.engines)
	}
	h.current = number
	return true
}

func (h *engineCollector) Engine(id, _, location, kind string, _ int, state scheduler.EngineState, _ int64) {
	if delete(h.engines, id); state == scheduler.EngineActive {
		h.engines[id] = residency.Engine{Name: id, Site: location, Threads: h.coresByKind[kind]}
	}
}

// EndEvent does nothing, because Engine applies each engine at once.
func (h *engineCollector) EndEvent()                {}
func (h *engineCollector) LatestEvent(number int64) { h.last = number }
func (h *engineCollector) InvalidEntry(string)      {}
