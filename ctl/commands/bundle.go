package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/client"
)

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name:  "bundle",
		Usage: "check, sign and roll out bundles",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a bundle file and show every error", ArgsUsage: "FILE", Action: bundleCheck},
			{Name: "diff", Usage: "show what a bundle file would change", ArgsUsage: "FILE", Action: withClient(bundleDiff)},
			{Name: "sign", Usage: "sign a bundle without sending it", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.UintFlag{Name: "expect", Usage: "the `GENERATION` that must be in force when it is published", Required: true},
					&cli.StringFlag{Name: "out", Usage: "write the signed order to `FILE`", Required: true},
				}, Action: bundleSign},
			{Name: "publish", Usage: "sign a bundle and put it in force; safe to repeat", ArgsUsage: "FILE (bundle, or an order from bundle sign ending in .json)",
				Flags: []cli.Flag{noWaitFlag()}, Action: withClient(bundlePublish)},
			{Name: "roll-forward", Usage: "put a stored version in force again as a new generation", ArgsUsage: "VERSION",
				Flags: []cli.Flag{noWaitFlag()}, Action: withClient(bundleVersionOrder(bundle.OrderRollForward))},
			{Name: "withdraw", Usage: "withdraw the version in force; the previous one comes into force as a new generation", ArgsUsage: "VERSION",
				Flags: []cli.Flag{noWaitFlag()}, Action: withClient(bundleVersionOrder(bundle.OrderWithdraw))},
			{Name: "status", Usage: "show the version in force and the stored ones", Action: withClient(bundleStatus)},
		},
	}
}

func bundleCheck(_ context.Context, cmd *cli.Command) error {
	b, err := loadBundle(cmd)
	if err != nil {
		return err
	}
	fmt.Printf("version %d is good; digest %s\n", b.Version, b.Digest())
	return nil
}

func bundleDiff(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	b, err := loadBundle(cmd)
	if err != nil {
		return err
	}
	inForce, err := c.Bundle(ctx)
	if err != nil {
		return err
	}
	from := &bundle.Bundle{}
	if len(inForce.Content) > 0 {
		if from, err = bundle.Decode(inForce.Content); err != nil {
			return err
		}
	}
	lines := bundle.Diff(from, b).Lines()
	return printOutput(cmd, lines, func(w io.Writer) {
		fmt.Fprintf(w, "version %d in force, version %d in the file, %d changes\n", inForce.Version, b.Version, len(lines))
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
	})
}

func bundleSign(_ context.Context, cmd *cli.Command) error {
	b, err := loadBundle(cmd)
	if err != nil {
		return err
	}
	key, err := client.LoadKey(cmd.String("key"))
	if err != nil {
		return cli.Exit(err.Error(), ExitInput)
	}
	c := &client.Client{Key: key}
	data, err := json.MarshalIndent(c.SignPublishOrder(b, uint64(cmd.Uint("expect"))), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.String("out"), append(data, '\n'), 0o644)
}

func bundlePublish(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	res, err := publish(ctx, cmd, c)
	if err != nil {
		return err
	}
	if err := printResult(cmd, res); err != nil {
		return err
	}
	return waitInForce(ctx, cmd, c, res.Order.Generation)
}

// signedOrderSuffix marks files with a signed order; other files hold a bundle.
const signedOrderSuffix = ".json"

// publish sends the signed order in the file that the argument names, or signs and
// publishes the bundle in it.
func publish(ctx context.Context, cmd *cli.Command, c *client.Client) (state.Result, error) {
	if file := cmd.Args().First(); len(file) > len(signedOrderSuffix) && file[len(file)-len(signedOrderSuffix):] == signedOrderSuffix {
		var o bundle.SignedOrder
		data, err := os.ReadFile(file)
		if err == nil {
			err = json.Unmarshal(data, &o)
		}
		if err != nil {
			return state.Result{}, cli.Exit(err.Error(), ExitInput)
		}
		return c.SendOrder(ctx, &o)
	}
	b, err := loadBundle(cmd)
	if err != nil {
		return state.Result{}, err
	}
	return c.Publish(ctx, b)
}

func bundleVersionOrder(kind bundle.OrderKind) func(context.Context, *cli.Command, *client.Client) error {
	return func(ctx context.Context, cmd *cli.Command, c *client.Client) error {
		text, err := requiredArgument(cmd, 0, "the VERSION")
		if err != nil {
			return err
		}
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return cli.Exit("VERSION must be a number", ExitInput)
		}
		res, err := c.SendVersionOrder(ctx, kind, version)
		if err != nil {
			return err
		}
		if err := printResult(cmd, res); err != nil {
			return err
		}
		return waitInForce(ctx, cmd, c, res.Order.Generation)
	}
}

func bundleStatus(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	st, err := c.Status(ctx)
	if err != nil {
		return err
	}
	return printOutput(cmd, st, func(w io.Writer) {
		fmt.Fprintf(w, "generation %d, version %d in force, digest %s\n\n", st.Generation, st.BundleVersion, st.BundleDigest)
		fmt.Fprintln(w, "VERSION\tGENERATION\tOPERATOR\tWITHDRAWN\tDIGEST")
		for _, v := range st.Versions {
			fmt.Fprintf(w, "%d\t%d\t%s\t%t\t%s\n", v.Version, v.Generation, v.Operator, v.Withdrawn, v.Digest[:16])
		}
	})
}
