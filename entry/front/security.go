package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/policy"
)

// errToken means that a token belongs to no caller.
var errToken = errors.New("the policy lists no caller with this token")

// errNoPolicy means that this VM has no policy yet, so that it knows no caller.
var errNoPolicy = errors.New("this entry VM has no policy yet")

// callerKey is the context key of the caller's name.
type callerKey struct{}

// security authenticates callers by their bearer tokens.
type security struct{ policy *policy.ActiveVersion }

// HandleToken implements the generated security handler. It compares the token's hash with
// that of every caller in constant time, so that timing reveals nothing about tokens.
func (s security) HandleToken(ctx context.Context, _ caller.OperationName, t caller.Token) (context.Context, error) {
	version := s.policy.Current()
	if version == nil {
		return nil, errNoPolicy
	}
	sum := sha256.Sum256([]byte(t.Token))
	given := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for name, c := range version.Document.Callers {
		if subtle.ConstantTimeCompare(given, []byte(c.TokenSHA256)) == 1 {
			found = name
		}
	}
	if found == "" {
		return nil, errToken
	}
	return context.WithValue(ctx, callerKey{}, found), nil
}

// callerName returns the name of the authenticated caller, or "" if there is none.
func callerName(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}
