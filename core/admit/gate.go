package admit

import (
	"fmt"
	"hash/maphash"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// gateShards is the number of independently locked parts of a Gate.
const gateShards = 16

// Bounds are the limits of one caller on one entry VM.
type CallerLimits struct {
	// RequestsPerSecond is this VM's share of the caller's rate; 0 means no limit.
	RequestsPerSecond float64
	// Burst is how many requests may come at once; at least 1 is allowed.
	Burst int
	// Concurrent is the most requests in flight; 0 means no limit.
	Concurrent int
}

// Refusal says why a request may not enter, with the numbers.
type Refusal struct {
	// Reason is machine-readable, in kebab case.
	Reason string
	// Detail has the numbers, for people.
	Detail string
	// Rule is the policy field that led to the refusal.
	Rule string
	// RetryAt is the earliest instant at which another try makes sense.
	RetryAt time.Time
}

// Gate counts the requests of each caller. It is safe for concurrent use. The
// zero value is not ready; use NewGate.
type Gate struct {
	seed   maphash.Seed
	shards [gateShards]gateShard
}

type gateShard struct {
	mu      sync.Mutex
	callers map[string]*callerState
}

type callerState struct {
	tokens   *rate.Limiter
	inFlight int
}

// NewGate returns a Gate that has seen no caller.
func NewGate() *Gate {
	g := &Gate{seed: maphash.MakeSeed()}
	for i := range g.shards {
		g.shards[i].callers = make(map[string]*callerState)
	}
	return g
}

// Enter admits a request of caller at now, or says why not. Each admitted
// request must be followed by one Leave.
func (g *Gate) Enter(now time.Time, caller string, b CallerLimits) *Refusal {
	shard := g.shard(caller)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.state(caller)
	if b.Concurrent > 0 && state.inFlight >= b.Concurrent {
		return &Refusal{
			Reason:  "concurrency-limit",
			Detail:  fmt.Sprintf("%d requests of this caller are in flight here; the limit is %d", state.inFlight, b.Concurrent),
			Rule:    "concurrent",
			RetryAt: now,
		}
	}
	if refusal := state.takeToken(now, b); refusal != nil {
		return refusal
	}
	state.inFlight++
	return nil
}

// Leave ends an admitted request of caller.
func (g *Gate) Leave(caller string) {
	shard := g.shard(caller)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.state(caller).inFlight--
}

// Forget drops what is known of callers that have nothing in flight and whose
// rate has recovered at now. It returns how many callers remain.
func (g *Gate) DropIdle(now time.Time) int {
	remaining := 0
	for i := range g.shards {
		remaining += g.shards[i].forget(now)
	}
	return remaining
}

func (g *Gate) shard(caller string) *gateShard {
	return &g.shards[maphash.String(g.seed, caller)%gateShards]
}

func (s *gateShard) state(caller string) *callerState {
	state := s.callers[caller]
	if state == nil {
		state = &callerState{}
		s.callers[caller] = state
	}
	return state
}

func (s *gateShard) forget(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, state := range s.callers {
		full := state.tokens == nil || state.tokens.TokensAt(now) >= float64(state.tokens.Burst())
		if state.inFlight == 0 && full {
			delete(s.callers, name)
		}
	}
	return len(s.callers)
}

// takeToken takes one token of the rate limit, following changed bounds.
func (c *callerState) takeToken(now time.Time, b CallerLimits) *Refusal {
	if b.RequestsPerSecond <= 0 {
		return nil
	}
	limit, burst := rate.Limit(b.RequestsPerSecond), max(1, b.Burst)
	if c.tokens == nil {
		c.tokens = rate.NewLimiter(limit, burst)
	}
	if c.tokens.Limit() != limit {
		c.tokens.SetLimitAt(now, limit)
	}
	if c.tokens.Burst() != burst {
		c.tokens.SetBurstAt(now, burst)
	}
	if c.tokens.AllowN(now, 1) {
		return nil
	}
	missing := 1 - c.tokens.TokensAt(now)
	wait := time.Duration(math.Ceil(missing / b.RequestsPerSecond * float64(time.Second)))
	return &Refusal{
		Reason:  "rate-limit",
		Detail:  fmt.Sprintf("this caller may send %.3g requests per second here, and %d at once", b.RequestsPerSecond, burst),
		Rule:    "requests-per-second",
		RetryAt: now.Add(wait),
	}
}
