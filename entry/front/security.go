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
var errToken = errors.New("the token belongs to no caller in the policy")

// errNoPolicy means that this VM cannot know any caller yet.
var errNoPolicy = errors.New("this entry VM has no policy yet")

// callerKey is the context key of the caller's name.
type callerKey struct{}

// security tells callers by their tokens.
type security struct{ policy *policy.ActiveVersion }

// HandleToken implements the generated security handler. It compares the hash
// of the token with those of all callers in constant time.
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

// callerName returns the name of the caller that a token belongs to.
func callerName(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}
