package oper

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"

	api "tanagerstack.org/core/api/oper"
)

// errInvalidToken means that the token of a call belongs to no operator.
var errInvalidToken = errors.New("the call needs a valid operator token")

// authenticator checks operator tokens.
type authenticator struct {
	operators []operator
}

// operator is an operator's name and the SHA-256 hash of the operator's token.
type operator struct {
	name string
	hash [sha256.Size]byte
}

// operatorKey is the context key of the authenticated operator's name.
type operatorKey struct{}

// newAuthenticator returns an authenticator for tokens, which maps operator names to the SHA-256
// hashes of their tokens in hexadecimal.
func newAuthenticator(tokens map[string]string) (authenticator, error) {
	var a authenticator
	for name, text := range tokens {
		hash, err := hex.DecodeString(text)
		if err != nil || len(hash) != sha256.Size {
			return authenticator{}, fmt.Errorf("operator token of %s: the SHA-256 hash must have 64 hexadecimal digits", name)
		}
		a.operators = append(a.operators, operator{name: name, hash: [sha256.Size]byte(hash)})
	}
	return a, nil
}

// HandleToken returns ctx with the name of the operator whom the token belongs to, or
// errInvalidToken. It compares the token's hash with all hashes in constant time, so that the
// response time reveals nothing about them.
func (a *authenticator) HandleToken(ctx context.Context, _ api.OperationName, t api.Token) (context.Context, error) {
	hash := sha256.Sum256([]byte(t.Token))
	name := ""
	for i := range a.operators {
		if subtle.ConstantTimeCompare(hash[:], a.operators[i].hash[:]) == 1 {
			name = a.operators[i].name
		}
	}
	if name == "" {
		return nil, errInvalidToken
	}
	return context.WithValue(ctx, operatorKey{}, name), nil
}

// operatorName returns the name that HandleToken added to ctx, or "".
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
