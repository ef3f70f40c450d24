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

// spoolCommand returns the commands that inspect and clean a spool directory that no process uses.
func spoolCommand() *cobra.Command {
	root := &cobra.Command{Use: "spool", Short: "List, check or clean a spool directory that no process uses"}
	withStore := func(
		action func(c *cobra.Command, store *resultstore.SpoolStore) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) (err error) {
			if i, err := os.Stat(args[0]); err != nil {
				return err
			} else if !i.IsDir() {
				return fmt.Errorf("%s is not a directory", args[0])
			}
			store, err := resultstore.OpenSpoolStore(args[0], resultstore.Options{})
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, store.Close()) }()
			if f := &store.Recovery; len(f.Lost) > 0 || f.CorruptBytes > 0 || f.IndexRebuilt {
				fmt.Fprintf(c.ErrOrStderr(), "found on opening: %d promised results lost, %d bytes torn, index rebuilt: %v\n", len(f.Lost), f.CorruptBytes, f.IndexRebuilt)
			}
			return action(c, store)
		}
	}
	ls := &cobra.Command{Use: "ls DIR", Short: "List the stored results", Args: cobra.ExactArgs(1),
		RunE: withStore(func(c *cobra.Command, store *resultstore.SpoolStore) error {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "result\tquery\tteam\tpages\trows\tbytes\tmade\tends")
			formatTime := func(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.DateTime) }
			err := store.Each(func(m *resultstore.Meta) error {
				_, err := fmt.Fprintf(w, "%016x\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", m.Result, m.QueryID, m.Tenant,
					len(m.PageRows), m.RowCount(), m.TotalBytes(),
					formatTime(m.CreatedMillis), formatTime(m.ExpiresMillis))
				return err
			})
			return errors.Join(err, w.Flush())
		})}
	verify := &cobra.Command{Use: "verify DIR", Short: "Verify the checksums", Args: cobra.ExactArgs(1),
		RunE: withStore(func(c *cobra.Command, store *resultstore.SpoolStore) error {
			v, err := store.Verify()
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
	gc := &cobra.Command{Use: "gc DIR", Short: "Delete expired results and free space", Args: cobra.ExactArgs(1),
		RunE: withStore(func(c *cobra.Command, store *resultstore.SpoolStore) error {
			before := store.TotalBytes()
			n, err := store.GC(time.Now().UnixMilli())
			fmt.Fprintf(c.OutOrStdout(), "%d results dropped, %d bytes before, %d now\n",
				n, before, store.TotalBytes())
			return err
		})}
	root.AddCommand(ls, verify, gc)
	return root
}
