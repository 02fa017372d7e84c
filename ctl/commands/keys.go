package commands

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomwick.example/ctl/client"
)

const secretBytes = 32

func keysCommand() *cli.Command {
	return &cli.Command{Name: "keys", Usage: "make keys and tokens", Commands: []*cli.Command{
		{Name: "generate", Usage: "make an operator's signing key", ArgsUsage: "OPERATOR",
			Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "the key `FILE` to write", Required: true}}, Action: keysGenerate},
		{Name: "frame", Usage: "make a secret for peers.keys of the settings", Action: keysFrame},
		{Name: "secret", Usage: "make a customer's bearer key or a pool's announcement token, with its digest for the bundle", Action: keysSecret},
		{Name: "digest", Usage: "print the digest of an existing secret", ArgsUsage: "SECRET", Action: keysDigest},
	}}
}

func keysGenerate(_ context.Context, cmd *cli.Command) error {
	name, err := requiredArgument(cmd, 0, "the OPERATOR's name")
	if err != nil {
		return err
	}
	k, err := client.NewKey(name)
	if err != nil {
		return err
	}
	if err := k.Save(cmd.String("out")); err != nil {
		return cli.Exit(err.Error(), ExitInput)
	}
	fmt.Printf("[operators.%s]\npublic_key = %q\n", name, k.Public)
	return nil
}

// NewSecret generates a random secret in base64.
func NewSecret() (string, error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	return base64.StdEncoding.EncodeToString(raw), nil
}

// SecretDigest returns the SHA-256 digest of a secret in hex, the form that bundles use.
func SecretDigest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// keysFrame prints a new key for the connections between instances, as a section of the
// settings.
func keysFrame(context.Context, *cli.Command) error {
	s, err := NewSecret()
	if err == nil {
		fmt.Printf("[[peers.keys]]\nid = \"k1\"\nsecret = %q\n", s)
	}
	return err
}

func keysSecret(context.Context, *cli.Command) error {
	s, err := NewSecret()
	if err == nil {
		fmt.Printf("secret: %s\nsha256: %s\n", s, SecretDigest(s))
	}
	return err
}

func keysDigest(_ context.Context, cmd *cli.Command) error {
	s, err := requiredArgument(cmd, 0, "the SECRET")
	if err == nil {
		fmt.Println(SecretDigest(s))
	}
	return err
}
