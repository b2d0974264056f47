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

// errNoAccess means that a call has no token of an operator.
var errNoAccess = errors.New("the call needs a valid operator token")

// access checks the tokens of operators.
type access struct {
	operators []operator
}

type operator struct {
	name string
	hash [sha256.Size]byte
}

type operatorKey struct{}

func newAccess(tokens map[string]string) (access, error) {
	var a access
	for name, text := range tokens {
		hash, err := hex.DecodeString(text)
		if err != nil || len(hash) != sha256.Size {
			return access{}, fmt.Errorf("operator token of %s: the hash must have 64 hexadecimal digits", name)
		}
		a.operators = append(a.operators, operator{name: name, hash: [sha256.Size]byte(hash)})
	}
	return a, nil
}

// HandleToken puts the name of the token's operator into the context. It
// compares with all hashes in constant time, so that its duration tells nothing
// about them.
func (a *access) HandleToken(ctx context.Context, _ api.OperationName, t api.Token) (context.Context, error) {
	hash := sha256.Sum256([]byte(t.Token))
	name := ""
	for i := range a.operators {
		if subtle.ConstantTimeCompare(hash[:], a.operators[i].hash[:]) == 1 {
			name = a.operators[i].name
		}
	}
	if name == "" {
		return nil, errNoAccess
	}
	return context.WithValue(ctx, operatorKey{}, name), nil
}

// operatorName returns the operator whose token came with the call.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
