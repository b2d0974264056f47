package guard

import (
	"cmp"
	"context"
	"errors"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

const (
	// budgetShare is the byte budget as a fraction of the VM's memory. Half of the memory is left
	// to the program itself, and the rest to garbage and to what the kernel holds.
	budgetShare = 0.3
	// connectionCost is what an open connection takes: its goroutine, its two buffers, and the bytes
	// that the kernel has received but nobody has read.
	connectionCost = 40 << 10
	// connectionsShare is the fraction of a port's bytes that open connections may take. The rest is
	// left to their requests.
	connectionsShare = 0.5
	// headerCost, bodyCost and answerCost are what a byte takes: header bytes are parsed into
	// strings; a body is read, copied to one piece and decoded, and a list of empty strings takes 16
	// bytes for 3; an answer exists once.
	headerCost = 2
	bodyCost   = 6
	answerCost = 1
	// maxBodyShare is the largest fraction of a port's bytes that one body may take.
	maxBodyShare = 0.5
	// documentedBodyBytes is the size of a body that is served whatever the memory is.
	documentedBodyBytes = 262144

	// reservedDescriptors are left for files.
	reservedDescriptors = 200

	// progressBytes is the number of bytes that count as progress. Fewer do not, so that a client
	// that sends single bytes counts as stalled.
	progressBytes = 1 << 10
	// leastRate and progressGrace give the least progress of a body or of the reading of an answer:
	// it must have taken no longer than progressGrace plus its bytes at leastRate, in bytes per
	// second. A client that gives up after 3 s needs less than progressGrace.
	leastRate     = 32 << 10
	progressGrace = 5 * time.Second
	// stallTimeout is how long a body or the reading of an answer may make no progress.
	stallTimeout = 5 * time.Second
	// evictableAfter is how long a connection must have made no progress to be closed for others. It
	// exceeds several round trips between regions.
	evictableAfter = 250 * time.Millisecond
	// roomShare is the fraction of a port's bytes or connections that is freed beyond what is
	// needed, so that the search for stalled connections is rare.
	roomShare = 1.0 / 16

	// sweepInterval is the time between checks for least progress.
	sweepInterval = 250 * time.Millisecond
	// reportInterval is the time between log lines about refused connections.
	reportInterval = time.Second
	// Memory is returned to the system when use falls below returnBelow after it exceeded
	// returnAfter, fractions of the budget. Returning costs a whole garbage collection.
	returnAfter = 0.2
	returnBelow = 0.1
)

// Class is a kind of client.
type Class int

// The classes.
const (
	// Callers are clients that nobody controls.
	Callers Class = iota
	// Peers are the other VMs.
	Peers
	// Operators are readiness checks, metrics and the operators' interface.
	Operators

	classCount
)

// bytesShares and descriptorShares are the fractions of the budget and of the descriptors by class.
// The rest of the descriptors is left to connections that the process opens itself.
var (
	bytesShares      = [classCount]float64{Callers: 0.6, Peers: 0.3, Operators: 0.1}
	descriptorShares = [classCount]float64{Callers: 0.4, Peers: 0.2, Operators: 0.05}
)

// Reason says why a connection was refused or closed. It is the label of a metric.
type Reason int

// The reasons.
const (
	Memory Reason = iota
	Connections
	SlowHeader
	SlowBody
	UnreadAnswer
	Idle
	Streams

	reasonCount
)

var reasonNames = [reasonCount]string{"memory", "connections", "slow-header", "slow-body", "unread-answer", "idle", "streams"}

func (r Reason) String() string { return reasonNames[r] }

// ErrRefused means that the byte budget does not suffice, or that the connection was closed to make
// room.
var ErrRefused = errors.New("refused for lack of memory")

// Options configure a Guard.
type Options struct {
	Limits Limits
	// Log writes a log line of a message and key-value pairs; nil writes none.
	Log func(message string, keysAndValues ...any)
}

// Guard holds the byte budget of a process. It is safe for concurrent use.
type Guard struct {
	opts Options

	mu      sync.Mutex
	ports   [classCount]*share
	refused [reasonCount]int64
	// reported has the counts at the time of the last log line.
	reported   [reasonCount]int64
	reportedAt time.Time
	sweptAt    time.Time
	// exceeded is true if use exceeded returnAfter since memory was last returned.
	exceeded bool
}

// share is the part of the budget that one class has. Guard.mu protects it.
type share struct {
	bytes, used    int64
	maxBody        int64
	maxConnections int
	conns          map[*Conn]struct{}
	// noneStalledUntil is the time before which no connection counts as stalled, as far as the last
	// search has found.
	noneStalledUntil time.Time
}

// New returns a guard. It checks for least progress until ctx ends.
func New(ctx context.Context, opts Options) *Guard {
	opts.Limits = opts.Limits.WithDefaults()
	now := time.Now()
	g := &Guard{opts: opts, reportedAt: now, sweptAt: now}
	budget := budgetShare * float64(opts.Limits.MemoryBytes)
	descriptors := float64(max(opts.Limits.Descriptors-reservedDescriptors, 0))
	for class := range classCount {
		s := &share{conns: make(map[*Conn]struct{})}
		s.bytes = max(int64(bytesShares[class]*budget), 2*documentedBodyBytes*bodyCost)
		s.maxBody = max(int64(maxBodyShare*float64(s.bytes)), documentedBodyBytes*bodyCost)
		s.maxConnections = max(1, min(int(descriptorShares[class]*descriptors), int(connectionsShare*float64(s.bytes)/connectionCost)))
		g.ports[class] = s
	}
	go g.loop(ctx)
	return g
}

// loop checks the connections until ctx ends.
func (g *Guard) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			closeAll(g.sweep(now))
			g.report(now)
			if g.shouldReturnMemory() {
				debug.FreeOSMemory()
			}
		}
	}
}

// sweep removes the connections that make less than the least progress and returns them, and retires
// those that carry no request and have reached their timeout. The time for which the process was
// suspended is not held against clients.
func (g *Guard) sweep(now time.Time) []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspended := now.Sub(g.sweptAt) - 2*sweepInterval
	g.sweptAt = now
	var closing []*Conn
	for _, s := range g.ports {
		for c := range s.conns {
			if suspended > 0 {
				c.since, c.progressAt = c.since.Add(suspended), c.progressAt.Add(suspended)
			}
			switch {
			case c.retired || !c.isTooSlow(now):
			case c.phase == idle:
				// The usual end of a connection that is kept.
				c.retire()
			case c.phase == fresh:
				g.refused[c.stallReason()]++
				c.retire()
			default:
				closing = append(closing, c)
			}
		}
	}
	for _, c := range closing {
		g.drop(c, c.stallReason())
	}
	return closing
}

// drop counts a connection that is closed for a reason and gives back what it holds. g.mu must be
// held. The caller closes the connection afterwards.
func (g *Guard) drop(c *Conn, why Reason) {
	g.refused[why]++
	c.detach()
}

// take takes bytes of a share, and returns the connections to close that made room for them. It
// reports false if there is no room. g.mu must be held.
func (g *Guard) take(s *share, cost int64, now time.Time) (closing []*Conn, ok bool) {
	if s.used+cost > s.bytes {
		closing = g.evict(s, now, func() bool { return s.used+cost+int64(roomShare*float64(s.bytes)) <= s.bytes })
	}
	if s.used+cost > s.bytes {
		return closing, false
	}
	s.used += cost
	g.noteUse()
	return closing, true
}

// evict removes stalled connections, the longest without progress first, until enough reports true.
// g.mu must be held.
func (g *Guard) evict(s *share, now time.Time, enough func() bool) []*Conn {
	if now.Before(s.noneStalledUntil) {
		return nil
	}
	var stalled []*Conn
	s.noneStalledUntil = now.Add(evictableAfter)
	for c := range s.conns {
		stalledAt := c.progressAt.Add(evictableAfter)
		switch {
		case !c.waitsForClient():
		case now.Before(stalledAt):
			s.noneStalledUntil = earlier(s.noneStalledUntil, stalledAt)
		default:
			stalled = append(stalled, c)
		}
	}
	if len(stalled) > 0 {
		s.noneStalledUntil = now
	}
	slices.SortFunc(stalled, func(a, b *Conn) int { return cmp.Compare(a.progressAt.UnixNano(), b.progressAt.UnixNano()) })
	for i, c := range stalled {
		if enough() {
			return stalled[:i]
		}
		g.drop(c, c.stallReason())
	}
	return stalled
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// noteUse records that use exceeds returnAfter. g.mu must be held.
func (g *Guard) noteUse() {
	if used, total := g.use(); float64(used) > returnAfter*float64(total) {
		g.exceeded = true
	}
}

// use returns the bytes taken and the whole budget. g.mu must be held.
func (g *Guard) use() (used, total int64) {
	for _, s := range g.ports {
		used, total = used+s.used, total+s.bytes
	}
	return used, total
}

func (g *Guard) shouldReturnMemory() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	used, total := g.use()
	if !g.exceeded || float64(used) > returnBelow*float64(total) {
		return false
	}
	g.exceeded = false
	return true
}

// report logs the connections that were refused or closed since the last line, at most one line
// per reportInterval.
func (g *Guard) report(now time.Time) {
	g.mu.Lock()
	counts := g.refused
	if g.opts.Log == nil || counts == g.reported || now.Sub(g.reportedAt) < reportInterval {
		g.mu.Unlock()
		return
	}
	var fields []any
	for reason, count := range counts {
		if since := count - g.reported[reason]; since > 0 {
			fields = append(fields, Reason(reason).String(), since)
		}
	}
	g.reported, g.reportedAt = counts, now
	used, total := g.use()
	open := g.open()
	g.mu.Unlock()
	g.opts.Log("connections refused", append(fields, "open", open, "buffered", used, "budget", total)...)
}

// open returns the number of open connections. g.mu must be held.
func (g *Guard) open() int {
	open := 0
	for _, s := range g.ports {
		for c := range s.conns {
			if c.Conn != nil {
				open++
			}
		}
	}
	return open
}

// Counts are the figures of a guard.
type Counts struct {
	// Refused has the connections and streams that were refused or closed, by the name of the reason.
	Refused map[string]int64
	// BufferedBytes are the bytes taken of the budget, BudgetBytes is the budget.
	BufferedBytes, BudgetBytes int64
	OpenConnections            int
}

// Counts returns the current figures.
func (g *Guard) Counts() Counts {
	c := Counts{Refused: make(map[string]int64, reasonCount)}
	if g == nil {
		return c
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for reason, count := range g.refused {
		c.Refused[Reason(reason).String()] = count
	}
	c.BufferedBytes, c.BudgetBytes = g.use()
	c.OpenConnections = g.open()
	return c
}

// closeAll closes the sockets of connections, and the streams, that were dropped.
func closeAll(list []*Conn) {
	for _, c := range list {
		_ = c.socket.Close()
	}
}
