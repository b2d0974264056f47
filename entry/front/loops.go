package front

import (
	"context"
	"time"
)

const (
	// poolInterval is the time between updates of queues and targets.
	poolInterval = 50 * time.Millisecond
	// claimInterval is the time between rounds of claim maintenance.
	claimInterval = 200 * time.Millisecond
	// heldClaimsLimit limits the claims in one HeldClaimsResponse.
	heldClaimsLimit = 20_000
	// flushLimit limits the claims written to the tables in one round.
	flushLimit = 500
	// sweepLimit limits the rows deleted in one transaction.
	sweepLimit = 500
	// abandonedSweepEvery is the number of claim intervals between searches for
	// abandoned rows.
	abandonedSweepEvery = 300
	// dropIdleEvery is the number of pool intervals between removals of idle callers.
	dropIdleEvery = 200
)

// poolLoop periodically updates the pools and removes idle callers.
type poolLoop struct{ front *Front }

func (l poolLoop) run(ctx context.Context) {
	ticker := time.NewTicker(poolInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range l.front.router.allPools() {
			p.update()
		}
		if count%dropIdleEvery == 0 {
			l.front.callerGate.DropIdle(l.front.now())
		}
	}
}

// claimLoop periodically fetches claims from other VMs, writes claims to the tables and
// removes expired ones.
type claimLoop struct{ claims *claims }

func (l claimLoop) run(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		l.claims.syncHeldClaims(ctx)
		l.claims.flush(ctx)
		l.claims.sweep(ctx)
		if count%abandonedSweepEvery == 0 {
			l.claims.sweepAbandonedRows(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
