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

// TestLinks shows that the forwarders cut what they say they cut.
func TestLinks(t *testing.T) {
	f := startFleet(t, options{domains: 1, entries: 2, targets: 2, targetLinks: true})
	vm := f.entries[0]
	r := request{caller: "hosts", id: "first", body: "hello", window: time.Second}
	if got := vm.send(r); got.outcome != "completed" || !got.whole {
		t.Fatalf("first request: %+v", got)
	}
	for number := range f.targetVMs {
		f.silenceTarget(number)
	}
	f.silencePlatform(vm)
	f.await(vm.process, 10*time.Second, func() bool { return vm.send(r).outcome == "completed" })
	f.cutPlatform(vm)
	f.cutPeers(vm, f.entries[1])
	f.await(vm.process, 10*time.Second, func() bool {
		status, err := vm.operatorsClient().GetStatus(context.Background())
		return err == nil && !status.StoreReachable.Or(true) && status.Vms[1].State == "unknown"
	})
	f.mendPlatform(vm)
	f.mendPeers(vm, f.entries[1])
	f.await(vm.process, 20*time.Second, func() bool {
		status, err := vm.operatorsClient().GetStatus(context.Background())
		return err == nil && status.StoreReachable.Or(false) && status.Vms[1].State == "live"
	})
}

// TestProcesses shows that processes die, pause, stop and come back as the test says.
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
		t.Errorf("exit code of a planned stop = %d", code)
	}
	second.restart()
	second.awaitReady()
	f.gone(second)
	f.cutDomain(first.domain, true)
	f.await(first.process, 10*time.Second, func() bool {
		status, err := first.operatorsClient().GetStatus(context.Background())
		return err == nil && status.Vms[0].State == "unknown"
	})
	f.cutDomain(first.domain, false)
}

// TestFaultOfTargets shows that a fault set by a test strikes, and that the record tells what ran.
func TestFaultOfTargets(t *testing.T) {
	f := startFleet(t, options{domains: 1, entries: 1, targets: 2})
	f.targets.fault(faultapi.FaultKindLostAnswer)
	r := request{caller: "hosts", once: true, body: "hello", window: time.Second}
	var got answer
	f.await(f.entries[0].process, readyPatience, func() bool {
		// A VM that has just started refuses until it has learned of earlier claims.
		r.id = fmt.Sprintf("once-%d", f.random.Int63())
		got = f.entries[0].send(r)
		return got.reason != "claim-memory"
	})
	if got.outcome != "unknown" {
		t.Errorf("a request whose answer was lost: %+v", got)
	}
	f.targets.fault(faultapi.FaultKindNone)
	if got := f.targets.executions(r.id); got != 1 || f.targets.record().Doubled != 0 {
		t.Errorf("executions = %d, record %+v", got, f.targets.record())
	}
}

// TestCrashIsSeen shows that a panic or race in a process's log fails its test, and other lines do not.
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
			if got := (&process{log: log}).crash(); got != test.crash {
				t.Errorf("crash() = %q, want %q", got, test.crash)
			}
		})
	}
}
