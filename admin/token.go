package main

import (
	"bufio"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// minTokenBytes is the length below which a token is hashed with a warning.
const minTokenBytes = 20

func hashTokenCommand() *cobra.Command {
	var create bool
	command := &cobra.Command{
		Use:   "hash-token",
		Short: "Print the hash of a token for the policy or the settings of an entry VM",
		Long: `Print the hash of a token for the policy or the settings of an entry VM.

The token is read from standard input, so that it does not show in process lists.
Use the hash as a caller's token-sha256 in the policy, or in --operator-tokens.`,
		Example: "  tanager hash-token --create\n  printf %s \"$TOKEN\" | tanager hash-token",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			token := rand.Text()
			if !create {
				var err error
				if token, err = readToken(cmd.InOrStdin()); err != nil {
					return err
				}
			}
			return printHash(cmd, token, create)
		},
	}
	command.Flags().BoolVar(&create, "create", false, "create a new random token and print it as well")
	return command
}

func readToken(in io.Reader) (string, error) {
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	token := strings.TrimRight(line, "\r\n")
	if token == "" {
		return "", errors.New("no token on standard input")
	}
	return token, nil
}

func printHash(cmd *cobra.Command, token string, create bool) error {
	hash := sha256.Sum256([]byte(token))
	if len(token) < minTokenBytes {
		cmd.PrintErrf("warning: a token of %d bytes is short enough to guess; use --create\n", len(token))
	}
	if create {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "token:  %s\nsha256: %x\n", token, hash)
		return err
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%x\n", hash)
	return err
}
