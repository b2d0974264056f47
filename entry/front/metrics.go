package front

import "expvar"

// metrics are the counters of the callers' API.
type metrics struct {
	completed, refused, unknown expvar.Int
	// sent counts requests sent to targets, notSent tries that ended before.
	sent, notSent, lost expvar.Int
	// passed counts requests passed on to other entry VMs.
	passed, regionBytes expvar.Int
	// doubled counts repeats of non-idempotent requests.
	doubled, memoryClaims expvar.Int
	// rowsLeft and holdsLeft count claims that could not be cleaned up at once.
	rowsLeft, holdsLeft expvar.Int
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
	vars.Set("passed-on", &m.passed)
	vars.Set("cross-region-bytes", &m.regionBytes)
	vars.Set("doubled", &m.doubled)
	vars.Set("claims-in-memory", &m.memoryClaims)
	vars.Set("claim-rows-left", &m.rowsLeft)
	vars.Set("claim-holds-left", &m.holdsLeft)
	return vars
}
