package cli

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/resultstore"
)

// spoolCommand looks after a spool's directory while no program has it.
func spoolCommand() *cobra.Command {
	root := &cobra.Command{Use: "spool", Short: "Look at a spool's directory, check or clean it; none that is in use"}
	with := func(
		do func(c *cobra.Command, k *resultstore.SpoolStore) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) (err error) {
			if i, err := os.Stat(args[0]); err != nil {
				return err
			} else if !i.IsDir() {
				return fmt.Errorf("%s is no directory", args[0])
			}
			k, err := resultstore.OpenSpoolStore(args[0], resultstore.Options{})
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, k.Close()) }()
			if f := &k.Recovery; len(f.Lost) > 0 || f.CorruptBytes > 0 || f.IndexRebuilt {
				fmt.Fprintf(c.ErrOrStderr(), "found on opening: %d promised results lost, %d bytes torn, index rebuilt: %v\n", len(f.Lost), f.CorruptBytes, f.IndexRebuilt)
			}
			return do(c, k)
		}
	}
	ls := &cobra.Command{Use: "ls DIR", Short: "List what is kept", Args: cobra.ExactArgs(1), RunE: with(func(c *cobra.Command, k *resultstore.SpoolStore) error {
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "result\tquery\tteam\tpages\trows\tbytes\tmade\tends")
		day := func(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.DateTime) }
		err := k.Each(func(m *resultstore.Meta) error {
			_, err := fmt.Fprintf(w, "%016x\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", m.Result, m.QueryID, m.Tenant, len(m.PageRows), m.RowCount(), m.TotalBytes(), day(m.CreatedMillis), day(m.ExpiresMillis))
			return err
		})
		return errors.Join(err, w.Flush())
	})}
	verify := &cobra.Command{Use: "verify DIR", Short: "Check every sum", Args: cobra.ExactArgs(1), RunE: with(func(c *cobra.Command, k *resultstore.SpoolStore) error {
		v, err := k.Verify()
		if err != nil {
			return err
		}
		for _, f := range v.Faults {
			fmt.Fprintln(c.OutOrStdout(), f)
		}
		fmt.Fprintf(c.OutOrStdout(), "%d segments, %d records, %d results, %d pages, %d bytes, %d of them dead\n", v.Segments, v.Records, v.Results, v.Pages, v.Bytes, v.DeadBytes)
		if len(v.Faults) > 0 {
			return fmt.Errorf("%d faults", len(v.Faults))
		}
		return nil
	})}
	gc := &cobra.Command{Use: "gc DIR", Short: "Drop what is past its life and give the space back", Args: cobra.ExactArgs(1), RunE: with(func(c *cobra.Command, k *resultstore.SpoolStore) error {
		before := k.TotalBytes()
		n, err := k.GC(time.Now().UnixMilli())
		fmt.Fprintf(c.OutOrStdout(), "%d results dropped, %d bytes before, %d now\n", n, before, k.TotalBytes())
		return err
	})}
	root.AddCommand(ls, verify, gc)
	return root
}
