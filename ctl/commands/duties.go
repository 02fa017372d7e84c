package commands

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomwick.example/core/api"
	"cardamomwick.example/ctl/client"
)

func usageCommand() *cli.Command {
	return &cli.Command{
		Name:  "usage",
		Usage: "list or export the runs of each customer, by recorded window",
		Description: "Reads them from an instance with a replica, by the address of its metrics page (metrics.address).\n" +
			"An isolated instance answers with the records that it has stored. Example: cardamomctl usage --at 10.0.0.3:9464 --format csv > usage.csv",
		Flags: []cli.Flag{
			metricsAddressFlag(instancesWithReplica),
			&cli.StringFlag{Name: "format", Usage: "table, csv or jsonl", Value: "table"},
			&cli.IntFlag{Name: "after", Usage: "only windows after this `WINDOW`"},
		},
		Action: withMetricsAddress(usageList),
	}
}

func dutiesCommand() *cli.Command {
	return &cli.Command{
		Name:  "duties",
		Usage: "show which instance holds each duty (one at a time), and the ordered servers",
		Flags: []cli.Flag{metricsAddressFlag(instancesWithReplica)}, Action: withMetricsAddress(dutiesList),
	}
}

// instancesWithReplica describes the instances that can answer the commands of this file.
const instancesWithReplica = "an instance with a replica"

// metricsAddressFlag returns the flag for the instance to ask. instances describes those
// that can answer.
func metricsAddressFlag(instances string) cli.Flag {
	return &cli.StringFlag{Name: "at", Usage: "metrics `ADDRESS` of " + instances, Required: true}
}

// withMetricsAddress returns an action that runs f with the metrics address and the
// timeout of the flags.
func withMetricsAddress(f func(ctx context.Context, cmd *cli.Command, address string) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return withExitCode(f(ctx, cmd, cmd.String("at")))
	}
}

// usageWriter prints usage records, one row for each window and customer.
type usageWriter interface {
	write(r *api.UsageRecord, customer string) error
	flush() error
}

func usageList(ctx context.Context, cmd *cli.Command, address string) error {
	w, err := newUsageWriter(cmd.String("format"), os.Stdout)
	if err != nil {
		return cli.Exit(err.Error(), ExitInput)
	}
	late, err := client.ReadUsage(ctx, address, int64(cmd.Int("after")), func(r api.UsageRecord) error {
		for _, customer := range slices.Sorted(maps.Keys(r.Counts)) {
			if err := w.write(&r, customer); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if late > 0 {
		fmt.Fprintf(os.Stderr, "%d runs were reported after their window was closed and are not in the list\n", late)
	}
	return w.flush()
}

func newUsageWriter(format string, out io.Writer) (usageWriter, error) {
	switch format {
	case "table":
		return &csvUsageWriter{csv: newTSVWriter(out)}, nil
	case "csv":
		return &csvUsageWriter{csv: csv.NewWriter(out)}, nil
	case "jsonl":
		return jsonUsageWriter{json.NewEncoder(out)}, nil
	}
	return nil, fmt.Errorf("unknown format %q: table, csv or jsonl", format)
}

// csvUsageWriter writes comma- or tab-separated lines after a header line.
type csvUsageWriter struct {
	csv           *csv.Writer
	headerWritten bool
}

func newTSVWriter(out io.Writer) *csv.Writer {
	w := csv.NewWriter(out)
	w.Comma = '\t'
	return w
}

func (c *csvUsageWriter) write(r *api.UsageRecord, customer string) error {
	if !c.headerWritten {
		c.headerWritten = true
		if err := c.csv.Write([]string{"window", "begin", "end", "customer", "runs", "taken"}); err != nil {
			return err
		}
	}
	return c.csv.Write([]string{strconv.FormatInt(r.Window, 10), r.Begin.Format(time.RFC3339), r.End.Format(time.RFC3339), customer,
		strconv.FormatUint(r.Counts[customer], 10), strconv.FormatBool(r.Acknowledged)})
}

func (c *csvUsageWriter) flush() error {
	c.csv.Flush()
	return c.csv.Error()
}

type jsonUsageWriter struct{ *json.Encoder }

func (j jsonUsageWriter) write(r *api.UsageRecord, customer string) error {
	return j.Encode(map[string]any{"window": r.Window, "begin": r.Begin, "end": r.End, "customer": customer, "runs": r.Counts[customer], "taken": r.Acknowledged})
}

func (j jsonUsageWriter) flush() error { return nil }

func dutiesList(ctx context.Context, cmd *cli.Command, address string) error {
	page, err := client.ReadDuties(ctx, address)
	if err != nil {
		return err
	}
	return printOutput(cmd, page, func(w io.Writer) {
		fmt.Fprintln(w, "DUTY\tHOLDER\tTERM\tLAST FENCE")
		for _, d := range page.Duties {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", d.Duty, d.Holder, d.Term, d.LastFence)
		}
		fmt.Fprintf(w, "\nwindows open\t%d\nwindows not acknowledged\t%d\n", page.OpenWindows, page.UnacknowledgedWindows)
		if len(page.Orders) > 0 {
			fmt.Fprintln(w, "\nPOOL\tZONE\tRECLAIMABLE\tORDERED\tSEEN")
		}
		for _, o := range page.Orders {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\n", o.Pool, o.Zone, o.Reclaimable, o.Count, o.Seen)
		}
	})
}
