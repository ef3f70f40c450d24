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

// plan tells what a policy would do, and asks nobody to do anything.
func (d *desk) plan() *cobra.Command {
	alone := false
	c := &cobra.Command{Use: "plan FILE --setup SETUP", Short: "Tell what a policy would do before it is applied", Args: cobra.ExactArgs(1),
		Long: "Check a policy against a controller's set-up and tell what its placement rules would do: which engines and controllers are\n" +
			"outside then, where something kept would go, which teams keep how much of the engines' threads and which would have none.\n" +
			"The policy in force, the controllers and bindings are asked of the fleet, the engines of the feed. Exit status 3: it can't\n" +
			"be taken, or a team would have no engine or controller.",
		RunE: func(c *cobra.Command, args []string) error {
			if d.setup == "" {
				return errors.New("--setup is missing: the policy is checked against it")
			}
			own, err := setup.Load(d.setup)
			if err != nil {
				return err
			}
			if own.IsControlProcess() {
				return fmt.Errorf("%s is of a control process, which has no teams or engines to check a policy against: name a controller's set-up", d.setup)
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			next, _, _, err := setup.ParsePolicy(args[0], text, own)
			if err != nil {
				return cli.WithExitCode(3, remedied(err))
			}
			if alone {
				if d.json {
					return printed(c, map[string]bool{"good": true})
				}
				_, err = fmt.Fprintln(c.OutOrStdout(), args[0]+": good")
				return err
			}
			now, world, err := d.world(c, own)
			if err != nil {
				return err
			}
			was, _ := now.Rules.([]residency.Rule)
			rules, _ := next.Rules.([]residency.Rule)
			o := residency.PlanChange(was, rules, world)
			if d.json {
				err = printed(c, o)
			} else if len(o.Rows) == 0 {
				_, err = fmt.Fprintln(c.OutOrStdout(), args[0]+": good; it binds no team to any site")
			} else {
				_, err = fmt.Fprint(c.OutOrStdout(), args[0]+": good\n"+o.Table())
			}
			if len(o.TeamsWithoutSite) > 0 && err == nil {
				return cli.ExitError{Code: 3}
			}
			return err
		}}
	c.Flags().BoolVar(&alone, "alone", false, "only check the file: ask neither the fleet nor the feed")
	return c
}

// world asks for what there is: the policy in force, controllers, bindings, engines.
func (d *desk) world(c *cobra.Command, own *setup.Setup) (now *controller.Policy, w residency.PlanInput, err error) {
	policy, err := d.reply(c, &fleet.Request{Kind: "policy"})
	if err != nil {
		return nil, w, err
	}
	if now, _, _, err = setup.ParsePolicy("the policy in force", policy.Policy, own); err != nil {
		return nil, w, remedied(err)
	}
	status, err := d.reply(c, &fleet.Request{Kind: "status"})
	if err != nil {
		return nil, w, err
	}
	if status.Status == nil {
		return nil, w, fmt.Errorf("the controller tells no status: %s", status.Reason)
	}
	for _, m := range status.Status.Members {
		if m.ClientAddress != "" { // one of the control role takes no queries
			w.Controllers = append(w.Controllers, m.Member)
		}
	}
	w.Bindings = status.Status.Bindings
	w.Engines, err = engines(own, listed)
	return now, w, err
}

// listed is how long the feed has to name all engines.
const listed = 5 * time.Second

// engines are those that serve, by the feed's whole list.
func engines(own *setup.Setup, within time.Duration) ([]residency.Engine, error) {
	conn, err := net.DialTimeout("tcp", own.DiscoveryAddress, within)
	if err != nil {
		return nil, fmt.Errorf("the feed of engines: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write(discovery.AppendSubscribe(nil, 0)); err != nil {
		return nil, fmt.Errorf("the feed of engines: %w", err)
	}
	h := &hearer{cores: map[string]float64{}, all: map[string]residency.Engine{}}
	for _, k := range own.Engines.Kinds {
		h.cores[k.Name] = k.Cores
	}
	for in := bufio.NewReader(conn); !h.whole || h.had < h.last; {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return nil, fmt.Errorf("the feed of engines: %w", err)
		}
		if _, err := discovery.Read(line, len(line), h); err != nil {
			return nil, fmt.Errorf("the feed of engines: %w", err)
		}
	}
	var l []residency.Engine
	for _, e := range h.all {
		l = append(l, e)
	}
	return l, nil
}

// hearer gathers the engines that serve.
type hearer struct {
	cores     map[string]float64
	all       map[string]residency.Engine
	had, last int64
	whole     bool
}

func (h *hearer) BeginEvent(number int64, whole bool) bool {
	if whole {
		h.whole = true
		clear(h.all)
	}
	h.had = number
	return true
}

func (h *hearer) Engine(id, _, location, kind string, _ int, state scheduler.EngineState, _ int64) {
	if delete(h.all, id); state == scheduler.EngineActive {
		h.all[id] = residency.Engine{Name: id, Site: location, Threads: h.cores[kind]}
	}
}

func (h *hearer) EndEvent()                {}
func (h *hearer) LatestEvent(number int64) { h.last = number }
func (h *hearer) InvalidEntry(string)      {}
