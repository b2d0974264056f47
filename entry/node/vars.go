package node

import (
	"expvar"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/roster"
)

// serveVars answers with the metrics as JSON. Unlike the handler of package expvar it omits the
// command line, which may contain hashes of operator tokens.
func (n *Node) serveVars(w http.ResponseWriter, _ *http.Request) {
	vars := new(expvar.Map).Init()
	vars.Set("name", text(n.settings.Name))
	vars.Set("policy-version", number(n.policyVersion()))
	vars.Set("lease-epoch", number(n.leaseEpoch()))
	vars.Set("ready", boolean(len(n.health.unreadyReasons(time.Now())) == 0))
	vars.Set("requests", n.front.Vars())
	vars.Set("store", n.storeVars())
	vars.Set("peer", n.peerVars())
	vars.Set("roster", rosterVars(n.roster.View()))
	vars.Set("clients", n.clientVars())
	vars.Set("process", processVars())
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(vars.String()))
}

func (n *Node) storeVars() *expvar.Map {
	stats := n.tables.Stats()
	vars := counters(map[string]*atomic.Int64{
		"commits":      &stats.Commits,
		"transactions": &stats.Transactions,
		"reads":        &stats.Reads,
		"scans":        &stats.Scans,
		"failures":     &stats.Failures,
		"rejected":     &stats.Rejected,
	})
	vars.Set("reachable", boolean(n.tables.Reachable()))
	return vars
}

func (n *Node) peerVars() *expvar.Map {
	stats := n.peers.Stats()
	vars := counters(map[string]*atomic.Int64{
		"calls":               &stats.Calls,
		"not-sent":            &stats.NotSent,
		"no-answer":           &stats.NoAnswer,
		"handled":             &stats.Handled,
		"dials":               &stats.Dials,
		"suspect-connections": &stats.SuspectConnections,
	})
	vars.Set("bytes", number(int64(n.peers.Bytes())))
	return vars
}

// clientVars returns the figures of the limits on clients and peers.
func (n *Node) clientVars() *expvar.Map {
	counts := n.guard.Counts()
	refused := new(expvar.Map).Init()
	for reason, count := range counts.Refused {
		refused.Set(reason, number(count))
	}
	vars := new(expvar.Map).Init()
	vars.Set("tanager_refused_connections_total", refused)
	vars.Set("tanager_buffered_bytes", number(counts.BufferedBytes))
	vars.Set("tanager_buffer_budget_bytes", number(counts.BudgetBytes))
	vars.Set("tanager_open_connections", number(int64(counts.OpenConnections)))
	return vars
}

func rosterVars(view *roster.View) *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("seat", number(int64(view.Seat)))
	vars.Set("generation", number(view.Generation))
	vars.Set("list-as-of", text(view.ListAsOf.Format(time.RFC3339Nano)))
	vars.Set("list-unreadable", number(int64(view.UnreadableMembers)))
	vars.Set("targets", number(int64(len(view.Targets))))
	vars.Set("workers", number(int64(len(view.Workers))))
	vars.Set("vms", number(int64(len(view.VMs))))
	live := int64(0)
	for i := range view.VMs {
		if view.VMs[i].State == roster.Live {
			live++
		}
	}
	vars.Set("vms-live", number(live))
	return vars
}

func processVars() *expvar.Map {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	vars := new(expvar.Map).Init()
	vars.Set("heap-bytes", number(int64(memory.HeapAlloc)))
	vars.Set("system-bytes", number(int64(memory.Sys)))
	vars.Set("goroutines", number(int64(runtime.NumGoroutine())))
	return vars
}

func counters(values map[string]*atomic.Int64) *expvar.Map {
	vars := new(expvar.Map).Init()
	for name, value := range values {
		vars.Set(name, number(value.Load()))
	}
	return vars
}

func number(value int64) *expvar.Int {
	v := new(expvar.Int)
	v.Set(value)
	return v
}

func text(value string) *expvar.String {
	v := new(expvar.String)
	v.Set(value)
	return v
}

func boolean(value bool) expvar.Var {
	return expvar.Func(func() any { return value })
}
