package commands

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/urfave/cli/v3"

	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "drive traffic from a profile and report what callers saw",
		Description: "Calls arrive at random times, independent of how the system responds. The answers are compared with the\n" +
			"text of the fake servers, so the servers must be those of cardamomctl fake.\n\nExample: cardamomctl --instances 127.0.0.1:7001 load --profile samples/nurlight-load.toml --keys keys.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Usage: "the profile `FILE`", Required: true},
			&cli.StringFlag{Name: "keys", Usage: "a TOML `FILE` with customer = \"bearer key\" lines", Required: true},
			&cli.Int64Flag{Name: "seed", Usage: "seed of the random arrival times", Value: 1},
			&cli.StringFlag{Name: "lines", Usage: "write the report as JSON lines to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "draw the attainment into a PNG or SVG `FILE`"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	instances := strings.FieldsFunc(cmd.String("instances"), func(r rune) bool { return r == ',' })
	if len(instances) == 0 {
		return cli.Exit("--instances is required", ExitInput)
	}
	p, err := load.LoadProfile(cmd.String("profile"))
	if err != nil {
		return cli.Exit(err.Error(), ExitInput)
	}
	keys := map[string]string{}
	data, err := os.ReadFile(cmd.String("keys"))
	if err == nil {
		err = toml.Unmarshal(data, &keys)
	}
	if err != nil {
		return cli.Exit(err.Error(), ExitInput)
	}
	caller.ConfigureTransport()
	target := &load.Target{Instances: instances, Keys: keys, Zones: p.Fleet.Zones}
	arrivals := p.Arrivals(cmd.Int64("seed"))
	samples := load.Run(ctx, p, target, arrivals, PrintProgress)
	r := load.NewReport(p, "run", samples)
	p.AddUpperBounds(arrivals, r)
	r.WriteTable(os.Stdout)
	if file := cmd.String("lines"); file != "" {
		f, err := os.Create(file)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := r.WriteJSONLines(f); err != nil {
			return err
		}
	}
	if file := cmd.String("plot"); file != "" {
		return load.Plot(file, p.Name, []*load.Report{r})
	}
	return nil
}

// PrintProgress prints a run's progress to standard error, over the previous line.
func PrintProgress(ended, total int, elapsed time.Duration) {
	fmt.Fprintf(os.Stderr, "\r%d of %d calls ended after %d s ", ended, total, int(elapsed.Seconds()))
}
