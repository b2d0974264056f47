package peer

import (
	"errors"
	"fmt"
)

// ErrNotSent means that the peer has not handled the message and will not: no byte of it was
// sent, or the peer reported that it did not handle it.
var ErrNotSent = errors.New("message not sent")

// ErrNoAnswer means that the peer may have handled the message.
var ErrNoAnswer = errors.New("no answer from peer")

// The codes of a RemoteError that this package sets. Handlers set other codes by returning an
// error with a method Code() string.
const (
	// CodeUnknownKind: the peer has no handler for the message.
	CodeUnknownKind = "unknown-kind"
	// CodeMalformed: the peer could not decode the message.
	CodeMalformed = "malformed"
	// CodeExpired: the message arrived after its deadline.
	CodeExpired = "expired"
	// CodeFailed: the handler returned an error without a code of its own.
	CodeFailed = "failed"
)

// RemoteError is an error that the peer returned as its answer.
type RemoteError struct {
	Code   string
	Detail string
}

// Error returns the code and the message of the peer.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer returned error %s: %s", e.Code, e.Detail)
}

// Handled reports whether the peer's handler ran.
func (e *RemoteError) Handled() bool {
	switch e.Code {
	case CodeUnknownKind, CodeMalformed, CodeExpired:
		return false
	default:
		return true
	}
}

// SizeError reports a message or answer larger than MaxMessageBytes.
type SizeError struct{ Bytes int }

// Error states the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.Bytes, MaxMessageBytes)
}

// coded is an error with a code that is sent to the peer.
type coded interface {
	error
	Code() string
}

// errorReply returns the answer for an error that a handler returned.
func errorReply(err error) reply {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return reply{Code: remote.Code, Detail: remote.Detail}
	}
	var withCode coded
	if errors.As(err, &withCode) {
		return reply{Code: withCode.Code(), Detail: err.Error()}
	}
	return reply{Code: CodeFailed, Detail: err.Error()}
}
