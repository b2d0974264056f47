package proof

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	memberapi "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/target"
)

// TestInvariantAtMostOnce guards against a non-idempotent request that runs twice while
// entry VMs, links and the table service fail.
func TestInvariantAtMostOnce(t *testing.T) {
	f := startFleet(t, options{domains: 2, entries: 3, targets: 4, targetLinks: true, policy: shortWindows})
	s := newChaosRun(f)
	s.runWithFaults(8)
	s.check(t)
}

// TestInvariantRefusalNotExecuted guards against a request that is reported refused
// although it ran. This can happen if a first attempt runs but its answer is lost, and
// no slot is free for another attempt.
func TestInvariantRefusalNotExecuted(t *testing.T) {
	f := startFleet(t, options{domains: 2, entries: 3, targets: 2, slots: 4, targetLinks: true, policy: shortWindows})
	s := newChaosRun(f)
	s.body, s.interval = "work=40ms", 4*time.Millisecond
	// Lost answers and few slots cause attempts that run without an answer and are
	// followed by a refusal.
	f.targets.setFault(faultapi.Fault{Kind: faultapi.FaultKindLostAnswer, Probability: faultapi.NewOptFloat64(0.2)})
	s.runWithFaults(6)
	v := s.check(t)
	if v.refused < 50 {
		t.Errorf("only %d answers were refusals, want at least 50", v.refused)
	}
	if overloaded := f.targets.record().Overloaded; overloaded > 0 {
		t.Errorf("a target received a request without a free slot %d times", overloaded)
	}
}

// TestInvariantResponseIntegrity guards against truncated answers and answers of other
// requests while targets answer wrongly and entry VMs are paused.
func TestInvariantResponseIntegrity(t *testing.T) {
	f := startFleet(t, options{domains: 2, entries: 2, targets: 4, policy: shortWindows})
	s := newChaosRun(f)
	s.start()
	for _, kind := range []faultapi.FaultKind{
		faultapi.FaultKindShortBody, faultapi.FaultKindSwappedAnswer, faultapi.FaultKindLateAnswer, faultapi.FaultKindLostAnswer,
	} {
		t.Log("fault for half of the answers: ", kind)
		f.targets.setFault(faultapi.Fault{
			Kind: kind, Probability: faultapi.NewOptFloat64(0.5), Delay: faultapi.NewOptDuration(1500 * time.Millisecond),
		})
		time.Sleep(1200 * time.Millisecond)
		paused := f.entries[f.random.Intn(len(f.entries))]
		paused.pause()
		time.Sleep(600 * time.Millisecond)
		paused.resume()
		f.targets.setFaultKind(faultapi.FaultKindNone)
		time.Sleep(1500 * time.Millisecond)
	}
	s.stop()
	s.check(t)
}

// TestInvariantDrain guards against requests to a target 3 s or more after it reported,
// or the list of members showed, that it is leaving, even if an entry VM is cut off
// from the platform or from a peer.
func TestInvariantDrain(t *testing.T) {
	// With targetLinks, targets do not report to the list of members that they leave.
	f := startFleet(t, options{domains: 2, entries: 3, targets: 4, targetLinks: true, policy: shortWindows})
	s := newChaosRun(f)
	s.start()
	time.Sleep(500 * time.Millisecond)
	f.cutPlatform(f.entries[0])
	f.cutPeers(f.entries[1], f.entries[2])
	f.targets.setFault(faultapi.Fault{Kind: faultapi.FaultKindLeaving, Member: faultapi.NewOptString(f.targetVMs[0].Name)})
	time.Sleep(8 * time.Second)
	s.stop()
	f.restorePlatform(f.entries[0])
	s.check(t)
	record := f.targets.record()
	t.Logf("%d requests were rejected", record.Rejected)
	if late := record.AfterLeaving.Or(-1); late != 0 {
		t.Errorf("%d requests reached a target 3 s or more after it reported that it was leaving", late)
	}
	f.checkListedDrain(t)
}

// checkListedDrain checks that a target gets no requests 3 s after it is listed as
// leaving, although the target itself does not report it. One entry VM is cut off from
// the platform and must learn of it from its peers.
func (f *fleet) checkListedDrain(t *testing.T) {
	t.Helper()
	f.targets.setFaultKind(faultapi.FaultKindNone)
	leaving := f.targetVMs[1]
	f.cutPlatform(f.entries[0])
	leaving.State = memberapi.MemberStateLeaving
	f.putMember(leaving)
	// The list of members shows a change only after the membership lag.
	time.Sleep(f.opts.membershipLag + 3*time.Second)
	traffic := newChaosRun(f)
	traffic.start()
	time.Sleep(2 * time.Second)
	traffic.stop()
	traffic.check(t)
	for id, answers := range traffic.answers {
		for _, a := range answers {
			if strings.Contains(string(a.body), "run-by="+leaving.Name) {
				t.Errorf("%s ran on %s 3 s or more after that target was listed as leaving", id, leaving.Name)
			}
		}
	}
}

// vmClient sends requests to one entry VM while it is ready, as a load balancer does. It
// counts completed requests and accepted ones that were cut off.
type vmClient struct {
	vm        *entryVM
	ready     atomic.Bool
	stopped   atomic.Bool
	cutOff    atomic.Int64
	completed atomic.Int64
}

// pollReady polls the readiness of the VM until stopped is set.
func (s *vmClient) pollReady() {
	for !s.stopped.Load() {
		s.ready.Store(s.vm.ready())
		time.Sleep(50 * time.Millisecond)
	}
}

// send sends non-idempotent requests one after another until stopped is set.
func (s *vmClient) send(t *testing.T, name string) {
	for i := 0; !s.stopped.Load(); i++ {
		if !s.ready.Load() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		id := fmt.Sprint(target.OncePrefix, name, "-", i)
		got := s.vm.send(request{caller: "hosts", id: id, nonIdempotent: true, body: "work=1400ms", window: 2 * time.Second})
		switch {
		case got.outcome == "completed":
			s.completed.Add(1)
		case got.outcome == "" && strings.Contains(got.detail, "connection refused"), got.outcome == "refused":
			// The request was not accepted, and the caller can tell.
		default:
			s.cutOff.Add(1)
			t.Logf("%s through %s: %+v", id, s.vm.name, got)
		}
	}
}

// TestInvariantGracefulShutdown guards against accepted requests that get no definite
// answer because their entry VM is stopped with SIGTERM.
func TestInvariantGracefulShutdown(t *testing.T) {
	f := startFleet(t, options{domains: 1, entries: 3, targets: 6, policy: shortWindows})
	var senders sync.WaitGroup
	var clients []*vmClient
	for _, vm := range f.entries {
		s := &vmClient{vm: vm}
		clients = append(clients, s)
		go s.pollReady()
		for i := range 4 {
			senders.Go(func() { s.send(t, fmt.Sprint(vm.name, i)) })
		}
	}
	time.Sleep(2 * time.Second)
	for _, i := range f.random.Perm(len(f.entries))[:2] {
		if code := f.entries[i].stop(); code != 0 {
			t.Errorf("%s exited with code %d, want 0", f.entries[i].name, code)
		}
		f.entries[i].restart()
		f.entries[i].awaitReady()
		time.Sleep(1200 * time.Millisecond)
	}
	for _, s := range clients {
		s.stopped.Store(true)
	}
	senders.Wait()
	for _, s := range clients {
		t.Logf("%s: %d completed, %d cut off", s.vm.name, s.completed.Load(), s.cutOff.Load())
		if s.cutOff.Load() > 0 || s.completed.Load() == 0 {
			t.Errorf("%s: %d requests were cut off, %d completed", s.vm.name, s.cutOff.Load(), s.completed.Load())
		}
	}
}
