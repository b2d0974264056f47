package front

import "expvar"

// metrics are the counters of the callers' API.
type metrics struct {
	completed, refused, unknown expvar.Int
	// sent counts attempts sent to targets, notSent attempts that failed before a
	// byte was sent, lost attempts without a response.
	sent, notSent, lost expvar.Int
	// forwarded counts requests forwarded to other entry VMs, crossRegionBytes the
	// body bytes exchanged with VMs in other regions.
	forwarded, crossRegionBytes expvar.Int
	// duplicates counts duplicates of non-idempotent requests, memoryClaims claims
	// secured in memory because the tables were unreachable.
	duplicates, memoryClaims expvar.Int
	// rowsNotDeleted counts failed deletions of claim rows, which are retried.
	// holdsNotReleased counts failed releases of claims held by the replica.
	rowsNotDeleted, holdsNotReleased expvar.Int
}

// Vars returns the counters for /debug/vars.
func (f *Front) Vars() *expvar.Map {
	m := f.metrics
	vars := new(expvar.Map).Init()
	vars.Set("completed", &m.completed)
	vars.Set("refused", &m.refused)
	vars.Set("unknown", &m.unknown)
	vars.Set("sent-to-targets", &m.sent)
	vars.Set("not-sent", &m.notSent)
	vars.Set("lost", &m.lost)
	vars.Set("passed-on", &m.forwarded)
	vars.Set("cross-region-bytes", &m.crossRegionBytes)
	vars.Set("doubled", &m.duplicates)
	vars.Set("claims-in-memory", &m.memoryClaims)
	vars.Set("claim-rows-left", &m.rowsNotDeleted)
	vars.Set("claim-holds-left", &m.holdsNotReleased)
	return vars
}
