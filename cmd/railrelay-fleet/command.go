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

// controlClient sends a command to a control listener: the one in a set-up, or one given by flags.
type controlClient struct {
	setupFile, controlAddress, keyFile string
	printAsJSON                        bool
	timeout                            time.Duration
}

// command returns the command `railrelay fleet`.
func command() *cobra.Command {
	d := &controlClient{}
	root := &cobra.Command{Use: "fleet", Short: "Show and change the state of the fleet",
		Long: "Show and change the state of the fleet. --setup names the set-up file of a controller, or\n" +
			"--control and --keys give its control address and the key file. Exit status: 0: the request\n" +
			"succeeded; 1 or 2: no request was sent; 3: the request failed permanently; 4: the outcome is not\n" +
			"known yet, repeat the command with the same id, on any controller."}
	root.PersistentFlags().StringVar(&d.setupFile, "setup", "",
		"set-up file of the controller that receives the request")
	root.PersistentFlags().StringVar(&d.controlAddress, "control", "",
		"control address of the controller, instead of the one in the set-up")
	root.PersistentFlags().StringVar(&d.keyFile, "keys", "", "key file, instead of the one in the set-up")
	root.PersistentFlags().BoolVar(&d.printAsJSON, "json", false, "print the response as one JSON object")
	root.AddCommand(d.statusCommand(), d.applyCommand(), d.purgeCommand(), d.forgetCommand(), d.policyCommand(),
		d.planCommand())
	return root
}

func (d *controlClient) statusCommand() *cobra.Command {
	var id, until string
	c := &cobra.Command{Use: "status",
		Short: "Show a controller's view of the fleet, or with --id the outcome of a change or purge",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkUntil(until, "", "unreachable", "settled"); err != nil {
				return err
			}
			return d.sendAndPrint(c, &fleet.Request{Kind: "status", ID: id, AwaitedStage: until,
				WaitMs: d.timeout.Milliseconds()})
		}}
	c.Flags().StringVar(&until, "until", "",
		"with --id, stage to wait for: unreachable for a purge (default erased), "+
			"settled for a change (default in force)")
	c.Flags().StringVar(&id, "id", "", "id of the change or purge whose outcome to wait for")
	c.Flags().DurationVar(&d.timeout, "at-most", 10*time.Second, "maximum time to wait")
	return c
}

func (d *controlClient) applyCommand() *cobra.Command {
	var id, until string
	var base uint64
	var wait time.Duration
	c := &cobra.Command{Use: "apply FILE --base N", Short: "Apply a policy to all controllers or to none",
		Args: cobra.ExactArgs(1),
		Long: "Apply a policy to all controllers or to none. FILE contains the complete policy, and N is the\n" +
			"policy version that it is based on, as printed by status. A change that isn't in force after\n" +
			"--at-most is withdrawn. A repeated command with the same id refers to the same change and makes\n" +
			"no second one.",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if !c.Flags().Changed("base") {
				return errors.New("--base is missing: give the version that the file was made against, as fleet status prints it")
			}
			if err := checkUntil(until, "", "settled"); err != nil {
				return err
			}
			a := &fleet.Request{Kind: "apply", ID: id, BaseVersion: base, Policy: text, AwaitedStage: until,
				AbortAfterMs: d.timeout.Milliseconds(), WaitMs: wait.Milliseconds()}
			if wait == 0 {
				a.WaitMs = (d.timeout + 5*time.Second).Milliseconds()
			}
			return d.sendAndPrint(c, a)
		}}
	c.Flags().StringVar(&id, "id", "", "id of the change, for repeating the command (default random)")
	c.Flags().Uint64Var(&base, "base", 0, "policy version that the file is based on")
	c.Flags().DurationVar(&d.timeout, "at-most", 30*time.Second,
		"time after which a change that isn't in force is withdrawn; 0 never withdraws it")
	c.Flags().StringVar(&until, "until", "",
		"settled: also wait for the purge of data outside narrower placement rules (default in force)")
	c.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait for the outcome (default --at-most plus 5s)")
	return c
}

func (d *controlClient) purgeCommand() *cobra.Command {
	var id, tenant, before, until string
	var tables []int64
	c := &cobra.Command{Use: "purge --team T", Short: "Purge the retained data of a team on all controllers",
		Args: cobra.NoArgs,
		Long: "Purge the retained data of a team, which is results and cached answers, on all controllers,\n" +
			"including those that are down. The purge is complete when the data is erased from the memory and\n" +
			"disk of every controller. With --until unreachable the command ends once no controller serves the\n" +
			"data any more.",
		RunE: func(c *cobra.Command, _ []string) error {
			if tenant == "" {
				return errors.New("--team is missing")
			}
			if err := checkUntil(until, "", "unreachable", "erased"); err != nil {
				return err
			}
			a := &fleet.Request{Kind: "purge", ID: id, Scope: &fleet.Scope{Tenant: tenant, Tables: tables},
				AwaitedStage: until, WaitMs: d.timeout.Milliseconds()}
			if until == "erased" {
				a.AwaitedStage = ""
			}
			if before != "" {
				at, err := parseTime(before, time.Now())
				if err != nil {
					return err
				}
				a.Scope.RetainedBeforeMs = at.UnixMilli()
			}
			return d.sendAndPrint(c, a)
		}}
	c.Flags().StringVar(&id, "id", "", "id of the purge, for repeating the command (default random)")
	c.Flags().StringVar(&tenant, "team", "", "team whose data to purge")
	c.Flags().Int64SliceVar(&tables, "tables", nil, "purge only data of these table groups; none: of all tables")
	c.Flags().StringVar(&before, "before", "",
		"purge only data retained before a time, such as 2026-11-30T18:00:00Z, or for longer than a duration, "+
			"such as 2h (default no limit)")
	c.Flags().StringVar(&until, "until", "", "stage to wait for: unreachable or erased (default erased)")
	c.Flags().DurationVar(&d.timeout, "at-most", time.Minute,
		"maximum time to wait; the purge continues after it")
	return c
}

func (d *controlClient) forgetCommand() *cobra.Command {
	id, anyway := "", false
	c := &cobra.Command{Use: "forget NAME",
		Short: "Remove a controller whose disk is destroyed", Args: cobra.ExactArgs(1),
		Long: "Remove a controller whose disk is destroyed. No change or purge waits for the controller any\n" +
			"more, and no controller with its name or its disk can serve again. The command can't be undone:\n" +
			"don't use it for a controller that is only stopped.",
		RunE: func(c *cobra.Command, args []string) error {
			r, err := d.send(c, &fleet.Request{Kind: "status"})
			if err != nil {
				return err
			}
			known := r.Status != nil && slices.ContainsFunc(r.Status.Members,
				func(m fleet.MemberStatus) bool { return m.Name == args[0] })
			if !known && !anyway { // a typing error would exclude a name permanently
				return fmt.Errorf("no controller named %q is known to the fleet; --anyway bars the name nevertheless",
					args[0])
			}
			return d.sendAndPrint(c, &fleet.Request{Kind: "forget", ID: id, Name: args[0],
				WaitMs: d.timeout.Milliseconds()})
		}}
	c.Flags().StringVar(&id, "id", "", "id of the request, for repeating the command (default random)")
	c.Flags().BoolVar(&anyway, "anyway", false, "accept a name that the fleet doesn't know")
	c.Flags().DurationVar(&d.timeout, "at-most", 10*time.Second, "maximum time to wait")
	return c
}

func (d *controlClient) policyCommand() *cobra.Command {
	return &cobra.Command{Use: "policy", Short: "Print the policy in force",
		Args: cobra.NoArgs,
		Long: "Print the text of the policy in force to standard output, and its version to standard error, for\n" +
			"apply --base. The text is empty while each controller uses the policy in its own set-up.",
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := d.send(c, &fleet.Request{Kind: "policy"})
			if err != nil {
				return err
			}
			if d.printAsJSON {
				return printJSON(c, r)
			}
			fmt.Fprintln(c.ErrOrStderr(), "version", r.Version)
			_, err = c.OutOrStdout().Write(r.Policy)
			return err
		}}
}

// checkUntil checks the value of --until. The first of words is the default, an empty value.
func checkUntil(until string, words ...string) error {
	if !slices.Contains(words, until) {
		return fmt.Errorf("--until %s: use %s", until, strings.Join(words[1:], " or "))
	}
	return nil
}

// parseTime reads a time, or a duration before now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, fmt.Errorf("%q is neither a time, as 2026-11-30T18:00:00Z, nor a duration, as 2h", text)
	}
	return at, nil
}

// endpoint returns the address of the control listener and the keys for requests to it.
func (d *controlClient) endpoint() (address string, keys transport.Keys, err error) {
	address, file := d.controlAddress, d.keyFile
	if d.setupFile != "" {
		config, err := setup.Load(d.setupFile)
		if err != nil {
			return "", nil, err
		}
		if config.Fleet == nil {
			return "", nil, fmt.Errorf("%s has no fleet part", d.setupFile)
		}
		address, file = cmp.Or(address, config.Fleet.ControlAddress), cmp.Or(file, config.Fleet.KeyFile)
	}
	if address == "" || file == "" {
		return "", nil,
			errors.New("no controller to send the request to: give --setup FILE, or --control ADDRESS and --keys FILE")
	}
	keys, err = transport.ReadKeys(file)
	return address, keys, err
}

// responseMargin is added to a request's wait to get the time after which the request fails.
const responseMargin = 5 * time.Second

// sendAndPrint sends a request and prints the response. The error contains the exit status.
func (d *controlClient) sendAndPrint(c *cobra.Command, a *fleet.Request) error {
	if a.ID == "" && a.Kind != "status" {
		a.ID = randomID()
		if !d.printAsJSON {
			fmt.Fprintln(c.ErrOrStderr(), "id", a.ID)
		}
	}
	r, err := d.send(c, a)
	if err != nil {
		return err
	}
	if d.printAsJSON {
		err = printJSON(c, r)
	} else {
		err = printResponse(c.OutOrStdout(), r)
	}
	if status := r.ExitStatus(); status != 0 && err == nil {
		return cli.ExitError{Code: status}
	}
	return err
}

// send sends a request and returns the response. The outcome of a request that was sent, but not
// answered, is unknown.
func (d *controlClient) send(c *cobra.Command, a *fleet.Request) (*fleet.Response, error) {
	address, keys, err := d.endpoint()
	if err != nil {
		return nil, withRemedy(err)
	}
	if host, err := os.Hostname(); err == nil {
		a.RequestedBy = cmp.Or(os.Getenv("USER"), "operator") + "@" + host
	}
	ctx, cancel := context.WithTimeout(context.Background(),
		time.Duration(a.WaitMs)*time.Millisecond+responseMargin)
	defer cancel()
	r, err := transport.SendControlRequest(ctx, address, keys, a)
	var unreachable *transport.UnreachableError
	if errors.As(err, &unreachable) && unreachable.Sent && a.ID != "" {
		return &fleet.Response{ID: a.ID, Outcome: "unknown", Reason: unreachable.Error(),
			Remedy: unreachable.Remedy()}, nil
	}
	return r, withRemedy(err)
}

func printJSON(c *cobra.Command, r any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetEscapeHTML(false)
	return e.Encode(r)
}

// withRemedy adds the remedy to the text of an error that has one.
func withRemedy(err error) error {
	var r fleet.ErrorWithRemedy
	if errors.As(err, &r) {
		return cli.WithExitCode(1, fmt.Errorf("%w\n%s", err, r.Remedy()))
	}
	return err
}

func randomID() string {
	p := make([]byte, 8)
	rand.Read(p)
	return hex.EncodeToString(p)
}

// printResponse prints a response as text.
func printResponse(out io.Writer, r *fleet.Response) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if r.Outcome != "status" {
		printOutcome(w, r)
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
			printOutcome(w, s.Change)
		}
		for i := range s.Purges {
			printOutcome(w, &s.Purges[i])
		}
		for _, rule := range s.Emergencies {
			fmt.Fprintf(w, "emergency by rule %s\n", rule)
		}
		for _, b := range s.Bindings {
			fmt.Fprintf(w, "tables %s of %s follow %s\n", joinNumbers(b.Tables), b.Tenant, joinNumbers(b.SourceTables))
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
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, cmp.Or(m.Site, "-"), yesNo(m.IsVoter), holds,
				cmp.Or(applied, "-"), m.PeerAddress, cmp.Or(m.ClientAddress, "-"))
		}
	}
	return w.Flush()
}

// printOutcome prints the outcome of one change or purge.
func printOutcome(w io.Writer, r *fleet.Response) {
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

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func joinNumbers(l []int64) string {
	all := make([]string, len(l))
	for i, n := range l {
		all[i] = strconv.FormatInt(n, 10)
	}
	return strings.Join(all, ",")
}
