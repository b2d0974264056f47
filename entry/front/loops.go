package front

import (
	"context"
	"time"
)

const (
	// tick is the time between looks at waiting requests and targets.
	tick = 50 * time.Millisecond
	// claimTick is the time between rounds of work on claims.
	claimTick = 200 * time.Millisecond
	// recallLimit bounds the claims in one answer to Recall.
	recallLimit = 20_000
	// flushLimit bounds the claims written to the tables in one round.
	flushLimit = 500
	// sweepLimit bounds the rows deleted in one transaction.
	sweepLimit = 500
	// orphansEvery is the number of claim ticks between looks for old rows.
	orphansEvery = 300
	// forgetEvery is the number of ticks between looks at idle callers.
	forgetEvery = 200
)

// poolLoop keeps the pools up with time and membership.
type poolLoop struct{ front *Front }

func (l poolLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range l.front.router.all() {
			p.advance()
		}
		if count%forgetEvery == 0 {
			l.front.callers.DropIdle(l.front.now())
		}
	}
}

// claimLoop learns, writes and forgets claims.
type claimLoop struct{ claims *claims }

func (l claimLoop) run(ctx context.Context) {
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	for count := 1; ; count++ {
		l.claims.learn(ctx)
		l.claims.flush(ctx)
		l.claims.sweep(ctx)
		if count%orphansEvery == 0 {
			l.claims.sweepOrphans(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
