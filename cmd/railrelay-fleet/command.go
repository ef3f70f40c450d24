package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/cli"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/transport"
	"railrelay.dev/railrelay/internal/setup"
)

// desk is where a command asks: the set-up's control listener, or one that is named.
type desk struct {
	setup, control, keys string
	json                 bool
	atMost               time.Duration
}

// command is `railrelay fleet`.
func command() *cobra.Command {
	d := &desk{}
	root := &cobra.Command{Use: "fleet", Short: "See and change what the fleet has decided",
		Long: "See and change what the fleet has decided. --setup names a controller's set-up, or --control and --keys its operators'\n" +
			"address and the key file. Exit status: 0 done, 3 not done and never will be, 4 not known yet: ask again by the same id,\n" +
			"of any controller; 1 and 2: nothing was asked."}
	root.PersistentFlags().StringVar(&d.setup, "setup", "", "the set-up of the controller that is asked")
	root.PersistentFlags().StringVar(&d.control, "control", "", "its operators' address, in place of the set-up's")
	root.PersistentFlags().StringVar(&d.keys, "keys", "", "the key file, in place of the set-up's")
	root.PersistentFlags().BoolVar(&d.json, "json", false, "print the answer as one JSON object")
	root.AddCommand(d.status(), d.apply(), d.purge(), d.forget(), d.policy(), d.plan())
	return root
}

func (d *desk) status() *cobra.Command {
	var id, until string
	c := &cobra.Command{Use: "status", Short: "Tell how a controller sees the fleet, or with --id what became of a run", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := oneOf(until, "", "unreachable", "settled"); err != nil {
				return err
			}
			return d.ask(c, &fleet.Request{Kind: "status", ID: id, AwaitedStage: until, WaitMs: d.atMost.Milliseconds()})
		}}
	c.Flags().StringVar(&until, "until", "", "with --id: unreachable of a purge, settled of a change (erased, in force)")
	c.Flags().StringVar(&id, "id", "", "of a change or purge: waits for the last word on it")
	c.Flags().DurationVar(&d.atMost, "at-most", 10*time.Second, "wait so long")
	return c
}

func (d *desk) apply() *cobra.Command {
	var id, until string
	var base uint64
	var wait time.Duration
	c := &cobra.Command{Use: "apply FILE --base N", Short: "Change the policy everywhere or nowhere", Args: cobra.ExactArgs(1),
		Long: "Change the policy everywhere or nowhere. FILE is the whole policy, made against version N, which status tells. A change\n" +
			"that isn't in force after --at-most is withdrawn. Asked again with the same id it is the same change, not a second one.",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if !c.Flags().Changed("base") {
				return errors.New("--base is missing: the version that the file was made against, which fleet status tells")
			}
			if err := oneOf(until, "", "settled"); err != nil {
				return err
			}
			a := &fleet.Request{Kind: "apply", ID: id, BaseVersion: base, Policy: text, AwaitedStage: until, AbortAfterMs: d.atMost.Milliseconds(), WaitMs: wait.Milliseconds()}
			if wait == 0 {
				a.WaitMs = (d.atMost + 5*time.Second).Milliseconds()
			}
			return d.ask(c, a)
		}}
	c.Flags().StringVar(&id, "id", "", "of the change, to ask again by (one is drawn)")
	c.Flags().Uint64Var(&base, "base", 0, "the version that the file was made against")
	c.Flags().DurationVar(&d.atMost, "at-most", 30*time.Second, "withdrawn if not in force by then; 0: never")
	c.Flags().StringVar(&until, "until", "", "settled: waits also for what tighter placement rules leave outside (in force)")
	c.Flags().DurationVar(&wait, "wait", 0, "wait so long for the word (--at-most and five seconds)")
	return c
}

func (d *desk) purge() *cobra.Command {
	var id, team, before, until string
	var tables []int64
	c := &cobra.Command{Use: "purge --team T", Short: "Have what is kept of a team go, on every controller", Args: cobra.NoArgs,
		Long: "Have what is kept of a team go: results and cached answers, on every controller, those that are down included. Done is\n" +
			"erased: gone from every memory and disk. --until unreachable is done once no controller serves any of it.",
		RunE: func(c *cobra.Command, _ []string) error {
			if team == "" {
				return errors.New("--team is missing")
			}
			if err := oneOf(until, "", "unreachable", "erased"); err != nil {
				return err
			}
			a := &fleet.Request{Kind: "purge", ID: id, Scope: &fleet.Scope{Team: team, Tables: tables}, AwaitedStage: until, WaitMs: d.atMost.Milliseconds()}
			if until == "erased" {
				a.AwaitedStage = ""
			}
			if before != "" {
				at, err := moment(before, time.Now())
				if err != nil {
					return err
				}
				a.Scope.RetainedBeforeMs = at.UnixMilli()
			}
			return d.ask(c, a)
		}}
	c.Flags().StringVar(&id, "id", "", "of the purge, to ask again by (one is drawn)")
	c.Flags().StringVar(&team, "team", "", "whose")
	c.Flags().Int64SliceVar(&tables, "tables", nil, "only of these table groups (all)")
	c.Flags().StringVar(&before, "before", "", "only what was kept before, as 2026-11-30T18:00:00Z, or so long ago, as 2h (whenever)")
	c.Flags().StringVar(&until, "until", "", "unreachable or erased (erased)")
	c.Flags().DurationVar(&d.atMost, "at-most", time.Minute, "wait so long; the purge goes on after it")
	return c
}

func (d *desk) forget() *cobra.Command {
	id, anyway := "", false
	c := &cobra.Command{Use: "forget NAME", Short: "Say that a controller's disk is destroyed: it never serves again", Args: cobra.ExactArgs(1),
		Long: "Say that a controller's disk is destroyed. Nothing waits for it any more, purges least of all, and that name and that disk\n" +
			"never serve again. It can't be taken back: a controller that only stands still is not to be forgotten.",
		RunE: func(c *cobra.Command, args []string) error {
			r, err := d.reply(c, &fleet.Request{Kind: "status"})
			if err != nil {
				return err
			}
			known := r.Status != nil && slices.ContainsFunc(r.Status.Members, func(m fleet.MemberStatus) bool { return m.Name == args[0] })
			if !known && !anyway { // a slip of the pen would bar a name for good
				return fmt.Errorf("no controller is called %q, as far as is known there; --anyway bars that name all the same", args[0])
			}
			return d.ask(c, &fleet.Request{Kind: "forget", ID: id, Name: args[0], WaitMs: d.atMost.Milliseconds()})
		}}
	c.Flags().StringVar(&id, "id", "", "to ask again by (one is drawn)")
	c.Flags().BoolVar(&anyway, "anyway", false, "also a name that isn't known")
	c.Flags().DurationVar(&d.atMost, "at-most", 10*time.Second, "wait so long")
	return c
}

func (d *desk) policy() *cobra.Command {
	return &cobra.Command{Use: "policy", Short: "Print the policy in force, to be changed and applied again", Args: cobra.NoArgs,
		Long: "Print the text of the policy in force, and to standard error its version, which is apply's --base. There is none while the\n" +
			"fleet decides by each controller's own set-up.",
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := d.reply(c, &fleet.Request{Kind: "policy"})
			if err != nil {
				return err
			}
			if d.json {
				return printed(c, r)
			}
			fmt.Fprintln(c.ErrOrStderr(), "version", r.Version)
			_, err = c.OutOrStdout().Write(r.Policy)
			return err
		}}
}

// oneOf is wrong about what --until can't be.
func oneOf(until string, words ...string) error {
	if !slices.Contains(words, until) {
		return fmt.Errorf("--until %s: it is %s", until, strings.Join(words[1:], " or "))
	}
	return nil
}

// moment reads a time, or a span before now.
func moment(text string, now time.Time) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, fmt.Errorf("%q is no time as 2026-11-30T18:00:00Z and no span as 2h", text)
	}
	return at, nil
}

// where is whom to ask, and by which keys.
func (d *desk) where() (address string, keys transport.Keys, err error) {
	address, file := d.control, d.keys
	if d.setup != "" {
		have, err := setup.Load(d.setup)
		if err != nil {
			return "", nil, err
		}
		if have.Fleet == nil {
			return "", nil, fmt.Errorf("%s has no fleet part", d.setup)
		}
		address, file = cmp.Or(address, have.Fleet.ControlAddress), cmp.Or(file, have.Fleet.KeyFile)
	}
	if address == "" || file == "" {
		return "", nil, errors.New("whom to ask? Give --setup FILE, or --control ADDRESS and --keys FILE")
	}
	keys, err = transport.ReadKeys(file)
	return address, keys, err
}

// asksAfter is how long after its wait the answer may come.
const asksAfter = 5 * time.Second

// ask asks and prints the answer; the error is the exit status.
func (d *desk) ask(c *cobra.Command, a *fleet.Request) error {
	if a.ID == "" && a.Kind != "status" {
		a.ID = draw()
		if !d.json {
			fmt.Fprintln(c.ErrOrStderr(), "id", a.ID)
		}
	}
	r, err := d.reply(c, a)
	if err != nil {
		return err
	}
	if d.json {
		err = printed(c, r)
	} else {
		err = show(c.OutOrStdout(), r)
	}
	if status := r.ExitStatus(); status != 0 && err == nil {
		return cli.ExitError{Code: status}
	}
	return err
}

// reply asks. What may have been taken without an answer isn't known yet.
func (d *desk) reply(c *cobra.Command, a *fleet.Request) (*fleet.Response, error) {
	address, keys, err := d.where()
	if err != nil {
		return nil, remedied(err)
	}
	if host, err := os.Hostname(); err == nil {
		a.RequestedBy = cmp.Or(os.Getenv("USER"), "operator") + "@" + host
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.WaitMs)*time.Millisecond+asksAfter)
	defer cancel()
	r, err := transport.SendControlRequest(ctx, address, keys, a)
	var away *transport.UnreachableError
	if errors.As(err, &away) && away.Sent && a.ID != "" {
		return &fleet.Response{ID: a.ID, Outcome: "unknown", Reason: away.Error(), Remedy: away.Remedy()}, nil
	}
	return r, remedied(err)
}

func printed(c *cobra.Command, r any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetEscapeHTML(false)
	return e.Encode(r)
}

// remedied is an error with what can be done about it.
func remedied(err error) error {
	var r fleet.ErrorWithRemedy
	if errors.As(err, &r) {
		return cli.WithExitCode(1, fmt.Errorf("%w\n%s", err, r.Remedy()))
	}
	return err
}

func draw() string {
	p := make([]byte, 8)
	rand.Read(p)
	return hex.EncodeToString(p)
}

// show prints a reply for people.
func show(out io.Writer, r *fleet.Response) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if r.Outcome != "status" {
		line(w, r)
	}
	if s := r.Status; s != nil {
		leader := "leader " + s.Leader
		if s.Leader == "" {
			leader = "no leader"
		}
		serves := "doesn't serve"
		switch {
		case s.Serves && s.LeaseRemainingMs < 0:
			serves = "serves, its lease has no end"
		case s.Serves:
			serves = fmt.Sprintf("serves, %v left of its lease", time.Duration(s.LeaseRemainingMs)*time.Millisecond)
		}
		fmt.Fprintf(w, "%s: %s, record %d, version %d, %s\n", s.Name, leader, s.Index, s.Version, serves)
		if s.Change != nil {
			line(w, s.Change)
		}
		for i := range s.Purges {
			line(w, &s.Purges[i])
		}
		for _, rule := range s.Emergencies {
			fmt.Fprintf(w, "emergency by rule %s\n", rule)
		}
		for _, b := range s.Bindings {
			fmt.Fprintf(w, "tables %s of %s follow %s\n", numbers(b.Tables), b.Team, numbers(b.SourceTables))
		}
		if len(s.Members) > 0 {
			fmt.Fprintln(w, "\ncontroller\tsite\tvotes\tholds\trecord\tpeers\tclients")
		}
		for _, m := range s.Members {
			holds := m.Lease.String()
			if m.Forgotten {
				holds = "forgotten"
			}
			applied := ""
			if m.AppliedIndex > 0 {
				applied = strconv.FormatUint(m.AppliedIndex, 10)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, cmp.Or(m.Site, "-"), yes(m.IsVoter), holds, cmp.Or(applied, "-"), m.PeerAddress, cmp.Or(m.ClientAddress, "-"))
		}
	}
	return w.Flush()
}

// line prints the word on one run.
func line(w io.Writer, r *fleet.Response) {
	text := r.Outcome
	if r.ID != "" {
		text = r.ID + ": " + text
	}
	if r.Outcome == "unknown" {
		text += " yet"
	}
	if r.Stage != "" && r.Stage != r.Outcome {
		text += ", " + r.Stage
	}
	if r.Version > 0 {
		text += fmt.Sprintf(", version %d", r.Version)
	}
	if c := r.Counts; c != nil {
		text += fmt.Sprintf(", %d results and %d answers, %d bytes", c.Results, c.Answers, c.Bytes)
	}
	if len(r.Outstanding) > 0 {
		text += ", waits for " + strings.Join(r.Outstanding, ", ")
	}
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	fmt.Fprintln(w, text)
	if r.Remedy != "" {
		fmt.Fprintln(w, "  "+r.Remedy)
	}
}

func yes(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func numbers(l []int64) string {
	all := make([]string, len(l))
	for i, n := range l {
		all[i] = strconv.FormatInt(n, 10)
	}
	return strings.Join(all, ",")
}
