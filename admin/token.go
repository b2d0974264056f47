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

// minTokenBytes is the length of the shortest token that is hashed without a warning.
const minTokenBytes = 20

func hashTokenCommand() *cobra.Command {
	var create bool
	command := &cobra.Command{
		Use:   "hash-token",
		Short: "Print the hash of a token for the policy or the settings of an entry VM",
		Long: `Print the hash of a token for the policy or the settings of an entry VM.

The token is read from standard input, so that it is in no list of processes. The
hash goes into a caller's token-sha256 of the policy, or into --operator-tokens.`,
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
	command.Flags().BoolVar(&create, "create", false, "make a new random token and print it too")
	return command
}

func readToken(in io.Reader) (string, error) {
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	token := strings.TrimRight(line, "\r\n")
	if token == "" {
		return "", errors.New("standard input has no token")
	}
	return token, nil
}

func printHash(cmd *cobra.Command, token string, create bool) error {
	hash := sha256.Sum256([]byte(token))
	if len(token) < minTokenBytes {
		cmd.PrintErrf("warning: a token of %d characters can be guessed; use --create\n", len(token))
	}
	if create {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "token:  %s\nsha256: %x\n", token, hash)
		return err
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%x\n", hash)
	return err
}
