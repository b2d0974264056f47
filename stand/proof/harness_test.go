package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

// TestLinks checks that the forwarders stall, cut and restore the intended connections.
func TestLinks(t *testing.T) {
	f := startFleet(t, options{domains: 1, entries: 2, targets: 2, targetLinks: true})
	vm := f.entries[0]
	r := request{caller: "hosts", id: "first", body: "hello", window: time.Second}
	if got := vm.send(r); got.outcome != "completed" || !got.complete {
		t.Fatalf("first request: got %+v, want completed", got)
	}
	for number := range f.targetVMs {
		f.stallTarget(number)
	}
	f.stallPlatform(vm)
	f.await(vm.process, 10*time.Second, func() bool { return vm.send(r).outcome == "completed" })
	f.cutPlatform(vm)
	f.cutPeers(vm, f.entries[1])
	f.await(vm.process, 10*time.Second, func() bool {
		status, err := vm.operatorsClient().GetStatus(context.Background())
		return err == nil && !status.StoreReachable.Or(true) && status.Vms[1].State == "unknown"
	})
	f.restorePlatform(vm)
	f.restorePeers(vm, f.entries[1])
	f.await(vm.process, 20*time.Second, func() bool {
		status, err := vm.operatorsClient().GetStatus(context.Background())
		return err == nil && status.StoreReachable.Or(false) && status.Vms[1].State == "live"
	})
}

// TestProcesses checks that an entry VM can be paused, resumed, stopped and restarted,
// and that its failure domain can be cut off.
func TestProcesses(t *testing.T) {
	f := startFleet(t, options{domains: 2, entries: 2, targets: 2})
	first, second := f.entries[0], f.entries[1]
	r := request{caller: "hosts", id: "r", body: "hello", window: time.Second}
	second.pause()
	if got := second.send(r); got.outcome != "" {
		t.Errorf("a paused VM answered: %+v", got)
	}
	second.resume()
	f.await(second.process, 10*time.Second, func() bool { return second.send(r).outcome == "completed" })
	if code := second.stop(); code != 0 {
		t.Errorf("exit code after SIGTERM = %d, want 0", code)
	}
	second.restart()
	second.awaitReady()
	f.markGone(second)
	f.setDomainCut(first.domain, true)
	f.await(first.process, 10*time.Second, func() bool {
		status, err := first.operatorsClient().GetStatus(context.Background())
		return err == nil && status.Vms[0].State == "unknown"
	})
	f.setDomainCut(first.domain, false)
}

// TestFaultOfTargets checks that a fault takes effect at the targets, and that their
// record counts the execution.
func TestFaultOfTargets(t *testing.T) {
	f := startFleet(t, options{domains: 1, entries: 1, targets: 2})
	f.targets.setFaultKind(faultapi.FaultKindLostAnswer)
	r := request{caller: "hosts", nonIdempotent: true, body: "hello", window: time.Second}
	var got answer
	f.await(f.entries[0].process, readyTimeout, func() bool {
		// A VM that has just started refuses non-idempotent requests until it knows
		// the earlier claims.
		r.id = fmt.Sprintf("once-%d", f.random.Int63())
		got = f.entries[0].send(r)
		return got.reason != "claim-memory"
	})
	if got.outcome != "unknown" {
		t.Errorf("request with a lost answer: got %+v, want outcome unknown", got)
	}
	f.targets.setFaultKind(faultapi.FaultKindNone)
	if got := f.targets.executions(r.id); got != 1 || f.targets.record().Doubled != 0 {
		t.Errorf("executions = %d, want 1; record %+v, want none doubled", got, f.targets.record())
	}
}

// TestCrashIsSeen checks that crashLine finds a panic or data race in the log of a
// process, and no other lines.
func TestCrashIsSeen(t *testing.T) {
	tests := map[string]struct {
		log   string
		crash string
	}{
		"panic":  {"I1204 started\npanic: boom\ngoroutine 1\n", "panic: boom"},
		"race":   {"WARNING: DATA RACE\nRead at\n", "WARNING: DATA RACE"},
		"a word": {"I1204 no panic here\n", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := filepath.Join(t.TempDir(), "log")
			if err := os.WriteFile(log, []byte(test.log), 0o600); err != nil {
				t.Fatal(err)
			}
			if got := (&process{log: log}).crashLine(); got != test.crash {
				t.Errorf("crashLine() = %q, want %q", got, test.crash)
			}
		})
	}
}
