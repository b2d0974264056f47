package proof

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	faultapi "tanagerstack.org/core/api/fault"
	operapi "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
)

const (
	policyVMs = 9
	// burstChanges is how many policy changes applyBurst applies.
	burstChanges = 20
	// maxInForceDelay is the required maximum time until a change is in force everywhere.
	// It is checked only if TANAGER_SECONDS is set, since CI machines are noisy.
	maxInForceDelay = 4 * time.Second
	// maxWait is the timeout for conditions that must hold eventually.
	maxWait = 60 * time.Second
)

// TestInvariantConfigPropagation lets operators apply concurrent policy changes while
// entry VMs are cut off, paused and killed and the table service is down or loses
// answers. It guards against an accepted version that is lost or reverted, a refused
// version that appears, and a reachable VM that does not get the newest version.
func TestInvariantConfigPropagation(t *testing.T) {
	f := newPolicyFleet(t)
	p := &policyTest{t: t, fleet: f, random: f.random, seen: make(map[int64]string)}
	p.readNewest()
	stop := p.watchAll()
	p.applyBurst()
	p.isolateVMs()
	p.raceOperators()
	p.clearFaults()
	stop()
	p.checkHistory()
}

// policyTest is the state of one run of TestInvariantConfigPropagation.
type policyTest struct {
	t             *testing.T
	fleet         *policyFleet
	random        *rand.Rand
	documentCount atomic.Int64

	mu sync.Mutex
	// operations are the calls of all operators with their answers.
	operations []porcupine.Operation
	// seen maps the versions that were in force on any VM to their documents.
	seen map[int64]string
}

// newDocument returns a policy document that differs from all earlier ones.
func (p *policyTest) newDocument() string {
	return strings.Replace(policy.SampleText(), "burst: 400", fmt.Sprintf("burst: %d", 1000+p.documentCount.Add(1)), 1)
}

// applyBurst applies changes one after the other without a pause, and waits until the
// last is in force on all VMs.
func (p *policyTest) applyBurst() {
	p.awaitInForce(1, p.fleet.vms)
	start := time.Now()
	var last changeAnswer
	expected := int64(1)
	for range burstChanges {
		if last = p.apply(0, p.fleet.vms[0], expected); last.kind != changeAccepted {
			p.t.Fatalf("policy change without any fault was not accepted: %+v", last)
		}
		expected = last.number
	}
	elapsed := time.Since(start)
	p.awaitInForce(expected, p.fleet.vms)
	p.reportDuration(fmt.Sprintf("%d changes accepted in %v, the last in force on %d VMs", burstChanges, elapsed.Round(time.Millisecond), policyVMs), time.Since(start)-elapsed)
}

// isolateVMs cuts one VM off from the platform and one from the platform and all peers.
// The first must still get a policy change, the second must keep its version until it
// is reconnected.
func (p *policyTest) isolateVMs() {
	noPlatform, isolated, rest := p.fleet.vms[1], p.fleet.vms[2], append([]*policyVM{p.fleet.vms[0], p.fleet.vms[1]}, p.fleet.vms[3:]...)
	noPlatform.setPlatformCut(true)
	isolated.setPlatformCut(true)
	isolated.setAllPeersCut(true)
	before, _ := isolated.policyVersion(p.t.Context())
	start := time.Now()
	changed := p.apply(0, p.fleet.vms[0], before)
	if changed.kind != changeAccepted {
		p.t.Fatalf("a change through a VM that is connected to the platform was not accepted: %+v", changed)
	}
	p.awaitInForce(changed.number, rest)
	p.reportDuration("change in force while one VM is cut off from the platform", time.Since(start))
	if now, _ := isolated.policyVersion(p.t.Context()); now != before {
		p.t.Errorf("the version of an isolated VM changed from %d to %d", before, now)
	}
	p.checkNotShownLive(isolated)
	noPlatform.setPlatformCut(false)
	isolated.setPlatformCut(false)
	isolated.setAllPeersCut(false)
	start = time.Now()
	p.awaitInForce(changed.number, p.fleet.vms)
	p.reportDuration("change in force on all VMs after reconnecting", time.Since(start))
}

// checkNotShownLive checks that the status read from the first VM does not show vm as
// live.
func (p *policyTest) checkNotShownLive(vm *policyVM) {
	status, err := p.fleet.vms[0].client.GetStatus(p.t.Context())
	if err != nil {
		p.t.Errorf("reading status: %v", err)
		return
	}
	for i := range status.Vms {
		if status.Vms[i].Name == vm.name && status.Vms[i].State == operapi.VMStatusStateLive {
			p.t.Errorf("%s is cut off, but the status shows it as live", vm.name)
		}
	}
}

// raceOperators lets three operators apply changes concurrently for 12 s while faults
// start and end at random.
func (p *policyTest) raceOperators() {
	ctx, cancel := context.WithTimeout(p.t.Context(), 12*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for id := 1; id <= 3; id++ {
		wg.Add(1)
		go (&policyOperator{test: p, id: id, random: rand.New(rand.NewSource(p.random.Int63())), wg: &wg}).run(ctx)
	}
	for ctx.Err() == nil {
		p.toggleFault()
		time.Sleep(time.Duration(100+p.random.Intn(500)) * time.Millisecond)
	}
	wg.Wait()
}

// toggleFault starts or ends one random fault.
func (p *policyTest) toggleFault() {
	vm := p.fleet.vms[p.random.Intn(policyVMs)]
	on := p.random.Intn(2) == 0
	switch p.random.Intn(7) {
	case 0:
		vm.setPlatformCut(on)
	case 1:
		vm.setAllPeersCut(on)
	case 2:
		paused := vm.cmd.Process
		_ = paused.Signal(syscall.SIGSTOP)
		time.AfterFunc(time.Duration(p.random.Intn(2500))*time.Millisecond, func() { _ = paused.Signal(syscall.SIGCONT) })
	case 3:
		p.fleet.setTableFault(faultapi.FaultKindDown, p.random)
	case 4:
		p.fleet.setTableFault(faultapi.FaultKindLostAnswer, p.random)
	case 5:
		p.fleet.setTableFault(faultapi.FaultKindNone, p.random)
	case 6:
		vm.replace()
	}
}

// clearFaults ends all faults and waits until the newest version is in force on all VMs.
func (p *policyTest) clearFaults() {
	p.fleet.setTableFault(faultapi.FaultKindNone, p.random)
	for _, vm := range p.fleet.vms {
		vm.signal(syscall.SIGCONT)
		vm.setPlatformCut(false)
		vm.setAllPeersCut(false)
	}
	start := time.Now()
	newest := p.readNewest()
	p.awaitInForce(newest.number, p.fleet.vms)
	p.reportDuration(fmt.Sprintf("version %d in force on all VMs after the end of all faults", newest.number), time.Since(start))
}

// readNewest reads the newest accepted version, and records the read as an operation.
func (p *policyTest) readNewest() changeAnswer {
	deadline := time.Now().Add(maxWait)
	for time.Now().Before(deadline) {
		called := time.Now().UnixNano()
		history, err := p.fleet.vms[0].client.GetPolicyHistory(p.t.Context(), operapi.GetPolicyHistoryParams{Limit: operapi.NewOptInt(1)})
		if err == nil && len(history.Versions) == 1 {
			answer := changeAnswer{kind: changeRead, number: history.Versions[0].Version}
			p.record(0, changeRequest{}, answer, called, time.Now().UnixNano())
			return answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.t.Fatal("the policy history could not be read in time")
	return changeAnswer{}
}

// awaitInForce waits until the version or a newer one is in force on all given VMs.
func (p *policyTest) awaitInForce(number int64, vms []*policyVM) {
	p.t.Helper()
	deadline := time.Now().Add(maxWait)
	for _, vm := range vms {
		for {
			version, _ := vm.policyVersion(p.t.Context())
			if version >= number {
				break
			}
			if time.Now().After(deadline) {
				p.t.Fatalf("%s still has version %d, want at least version %d", vm.name, version, number)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// reportDuration logs a duration and, if TANAGER_SECONDS is set, checks it against
// maxInForceDelay.
func (p *policyTest) reportDuration(what string, elapsed time.Duration) {
	p.t.Logf("%s within %v", what, elapsed.Round(time.Millisecond))
	if os.Getenv("TANAGER_SECONDS") != "" && elapsed > maxInForceDelay {
		p.t.Errorf("%s took %v, more than %v", what, elapsed, maxInForceDelay)
	}
}

// checkHistory compares the policy history with the answers that operators received and
// the versions that were in force on VMs.
func (p *policyTest) checkHistory() {
	history, err := p.fleet.vms[0].client.GetPolicyHistory(p.t.Context(), operapi.GetPolicyHistoryParams{Limit: operapi.NewOptInt(1000)})
	if err != nil {
		p.t.Fatal(err)
	}
	written := make(map[int64]string)
	for i := range history.Versions {
		written[history.Versions[i].Version] = history.Versions[i].Document
	}
	if newest := history.Versions[0].Version; int64(len(written)) != newest {
		p.t.Errorf("the history has %d versions, the newest is %d", len(written), newest)
	}
	for number, document := range p.seen {
		if written[number] != document {
			p.t.Errorf("version %d was in force on a VM with a document that differs from the history", number)
		}
	}
	accepted, kinds := 0, make(map[changeKind]int)
	for _, operation := range p.operations {
		request, answer := operation.Input.(changeRequest), operation.Output.(changeAnswer)
		kinds[answer.kind]++
		if answer.kind == changeAccepted {
			accepted++
			if written[answer.number] != request.text {
				p.t.Errorf("accepted version %d is missing or differs in the history", answer.number)
			}
		}
	}
	p.t.Logf("answers to operators: %v; versions in the history: %d", kinds, len(written))
	if accepted <= burstChanges+2 {
		p.t.Error("no version was accepted while faults were injected")
	}
	result, _ := porcupine.CheckOperationsVerbose(policyModel(), p.operations, maxWait)
	if result != porcupine.Ok {
		p.t.Errorf("linearizability check of the operators' calls: %s", result)
	}
}

// changeKind is the kind of answer that an operator received.
type changeKind string

const (
	changeAccepted changeKind = "accepted"
	changeConflict changeKind = "conflict"
	changeRefused  changeKind = "refused"
	changeUnknown  changeKind = "unknown"
	changeRead     changeKind = "read"
)

// changeRequest is a policy change that is accepted only if the expected version is the
// newest. It is empty for a read.
type changeRequest struct {
	expected int64
	text     string
}

// changeAnswer is the answer to a change or a read, with the version number in it.
type changeAnswer struct {
	kind   changeKind
	number int64
}

// policyModel is the reference model for the linearizability check. Its state is the
// newest version, which grows by one with each accepted change. A change is accepted
// only if it expects the newest version. A change with an unknown outcome may have been
// accepted or not.
func policyModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		// Version 1 is accepted when the fleet starts.
		Init: func() []any { return []any{int64(1)} },
		Step: func(state, input, output any) []any {
			number, request, answer := state.(int64), input.(changeRequest), output.(changeAnswer)
			matches := number == request.expected
			switch {
			case answer.kind == changeAccepted && matches && answer.number == number+1:
				return []any{number + 1}
			case answer.kind == changeConflict && !matches && answer.number == number,
				answer.kind == changeRead && answer.number == number,
				answer.kind == changeRefused,
				answer.kind == changeUnknown && !matches:
				return []any{number}
			case answer.kind == changeUnknown:
				return []any{number, number + 1}
			default:
				return nil
			}
		},
	}
	return model.ToModel()
}

// apply applies a change through a VM and records the call with its answer.
func (p *policyTest) apply(client int, vm *policyVM, expected int64) changeAnswer {
	request := changeRequest{expected: expected, text: p.newDocument()}
	called := time.Now().UnixNano()
	response, err := vm.client.ApplyPolicy(context.Background(), &operapi.PolicyApply{
		ExpectedVersion: expected, Author: "prover", Reason: "The test changes the default burst.", Document: request.text,
	})
	answer := classifyResponse(response, err)
	returned := time.Now().UnixNano()
	if answer.kind == changeUnknown {
		returned = math.MaxInt64
	}
	p.record(client, request, answer, called, returned)
	return answer
}

// classifyResponse returns the answer in a response of ApplyPolicy. Any error other than
// a refusal or status 400 counts as unknown.
func classifyResponse(response operapi.ApplyPolicyRes, err error) changeAnswer {
	var problem *operapi.ProblemStatusCode
	switch r := response.(type) {
	case *operapi.PolicyVersion:
		return changeAnswer{kind: changeAccepted, number: r.Version}
	case *operapi.PolicyConflict:
		return changeAnswer{kind: changeConflict, number: r.Current.Version}
	}
	if errors.As(err, &problem) && (problem.StatusCode == http.StatusBadRequest || problem.Response.Outcome.Value == operapi.ProblemOutcomeRefused) {
		return changeAnswer{kind: changeRefused}
	}
	return changeAnswer{kind: changeUnknown}
}

func (p *policyTest) record(client int, request changeRequest, answer changeAnswer, called, returned int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.operations = append(p.operations, porcupine.Operation{ClientId: client, Input: request, Call: called, Output: answer, Return: returned})
}

// policyOperator applies changes one after the other through random VMs.
type policyOperator struct {
	test   *policyTest
	id     int
	random *rand.Rand
	wg     *sync.WaitGroup
}

func (o *policyOperator) run(ctx context.Context) {
	defer o.wg.Done()
	for ctx.Err() == nil {
		vm := o.test.fleet.vms[o.random.Intn(policyVMs)]
		expected, _ := vm.policyVersion(ctx)
		if expected > 0 {
			o.test.apply(o.id, vm, expected)
		}
		time.Sleep(time.Duration(o.random.Intn(150)) * time.Millisecond)
	}
}

// watchAll polls the version in force on all VMs until the returned function is called.
func (p *policyTest) watchAll() func() {
	ctx, cancel := context.WithCancel(p.t.Context())
	var wg sync.WaitGroup
	for _, vm := range p.fleet.vms {
		w := &policyWatcher{test: p, vm: vm, wg: &wg}
		wg.Add(1)
		go w.run(ctx)
	}
	return func() { cancel(); wg.Wait() }
}

// policyWatcher polls the version of one VM, and fails the test if the version decreases
// within the life of a process.
type policyWatcher struct {
	test *policyTest
	vm   *policyVM
	wg   *sync.WaitGroup
}

func (w *policyWatcher) run(ctx context.Context) {
	defer w.wg.Done()
	var highest, instance int64
	for ctx.Err() == nil {
		before := w.vm.processChanges.Load()
		number, document := w.vm.policyVersion(ctx)
		if before != w.vm.processChanges.Load() {
			continue
		}
		if before != instance {
			highest, instance = 0, before
		}
		if number > 0 {
			w.recordVersion(number, document, highest)
			highest = max(highest, number)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// recordVersion records a version in force on the VM, and fails the test if it is below
// the highest one before or has another document than seen before.
func (w *policyWatcher) recordVersion(number int64, document string, highest int64) {
	if number < highest {
		w.test.t.Errorf("%s reverted from version %d to %d", w.vm.name, highest, number)
	}
	w.test.mu.Lock()
	defer w.test.mu.Unlock()
	if before, ok := w.test.seen[number]; ok && before != document {
		w.test.t.Errorf("version %d was seen with two different documents", number)
	}
	w.test.seen[number] = document
}
