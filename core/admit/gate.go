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

// CallerLimits are the limits of one caller on one entry VM.
type CallerLimits struct {
	// RequestsPerSecond is this VM's share of the caller's rate; 0 or less means no
	// limit.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once; a value below 1 counts
	// as 1.
	Burst int
	// Concurrent is the maximum number of requests in flight; 0 or less means no limit.
	Concurrent int
}

// Refusal describes why a request is not admitted.
type Refusal struct {
	// Reason is a machine-readable code in kebab case.
	Reason string
	// Detail is a text for people, with the limit and the actual numbers.
	Detail string
	// Rule is the name of the policy field that caused the refusal.
	Rule string
	// RetryAt is the earliest instant at which a retry can succeed.
	RetryAt time.Time
}

// Gate applies rate and concurrency limits to each caller. It is safe for concurrent
// use. The zero value is not usable; use NewGate.
type Gate struct {
	seed   maphash.Seed
	shards [gateShards]gateShard
}

// gateShard holds the state of some of the callers, under its own lock.
type gateShard struct {
	mu      sync.Mutex
	callers map[string]*callerState
}

// callerState is the state of one caller. tokens is nil until a request comes under a
// rate limit.
type callerState struct {
	tokens   *rate.Limiter
	inFlight int
}

// NewGate returns a Gate without state for any caller.
func NewGate() *Gate {
	g := &Gate{seed: maphash.MakeSeed()}
	for i := range g.shards {
		g.shards[i].callers = make(map[string]*callerState)
	}
	return g
}

// Enter admits a request of caller at now and returns nil, or returns the reason for
// a refusal. Each admitted request needs one call of Leave when it ends.
func (g *Gate) Enter(now time.Time, caller string, limits CallerLimits) *Refusal {
	shard := g.shard(caller)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.state(caller)
	if limits.Concurrent > 0 && state.inFlight >= limits.Concurrent {
		return &Refusal{
			Reason:  "concurrency-limit",
			Detail:  fmt.Sprintf("%d requests of this caller are in flight here; the limit is %d", state.inFlight, limits.Concurrent),
			Rule:    "concurrent",
			RetryAt: now,
		}
	}
	if refusal := state.takeToken(now, limits); refusal != nil {
		return refusal
	}
	state.inFlight++
	return nil
}

// Leave records the end of an admitted request of caller.
func (g *Gate) Leave(caller string) {
	shard := g.shard(caller)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.state(caller).inFlight--
}

// DropIdle drops the state of callers that have no requests in flight and whose burst
// is fully available again at now. It returns the number of remaining callers.
func (g *Gate) DropIdle(now time.Time) int {
	remaining := 0
	for i := range g.shards {
		remaining += g.shards[i].dropIdle(now)
	}
	return remaining
}

func (g *Gate) shard(caller string) *gateShard {
	return &g.shards[maphash.String(g.seed, caller)%gateShards]
}

// state returns the state of a caller and creates it if necessary.
func (s *gateShard) state(caller string) *callerState {
	state := s.callers[caller]
	if state == nil {
		state = &callerState{}
		s.callers[caller] = state
	}
	return state
}

func (s *gateShard) dropIdle(now time.Time) int {
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

// takeToken applies limits, which may have changed, and takes one token of the rate
// limit. It returns a Refusal if there is none.
func (c *callerState) takeToken(now time.Time, limits CallerLimits) *Refusal {
	if limits.RequestsPerSecond <= 0 {
		return nil
	}
	limit, burst := rate.Limit(limits.RequestsPerSecond), max(1, limits.Burst)
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
	wait := time.Duration(math.Ceil(missing / limits.RequestsPerSecond * float64(time.Second)))
	return &Refusal{
		Reason:  "rate-limit",
		Detail:  fmt.Sprintf("this caller may send %.3g requests per second here, and %d at once", limits.RequestsPerSecond, burst),
		Rule:    "requests-per-second",
		RetryAt: now.Add(wait),
	}
}
