package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// maxAnswerGap is the longest time without an answer that is no outage: single calls fail while others
// are answered.
const maxAnswerGap = 500 * time.Millisecond

// uptime tracks since when the service has answered without an outage. The zero value has seen no answer.
type uptime struct {
	mu sync.Mutex
	// since is the first answer after the last outage, and answeredAt the last answer.
	since, answeredAt time.Time
	// failed is set if a call has failed since the last answer.
	failed bool
}

// answered records an answer.
func (u *uptime) answered(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since.IsZero() || u.failed && now.Sub(u.answeredAt) > maxAnswerGap {
		u.since = now
	}
	u.answeredAt, u.failed = now, false
}

// unanswered records a call that failed without an answer.
func (u *uptime) unanswered() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failed = true
}

// noteAnswer records whether the service answered a call. A call whose caller gave up tells nothing.
func (c *Client) noteAnswer(caller context.Context, err error) {
	switch {
	case err == nil, errors.Is(err, ErrRejected), errors.Is(err, ErrHistoryGone):
		c.uptime.answered(time.Now())
	case caller.Err() == nil:
		c.uptime.unanswered()
	}
}

// AnsweringSince returns the first answer of the service after its last outage that this client has
// noticed, and whether it has answered at all.
func (c *Client) AnsweringSince() (since time.Time, answered bool) {
	c.uptime.mu.Lock()
	defer c.uptime.mu.Unlock()
	return c.uptime.since, !c.uptime.since.IsZero()
}
