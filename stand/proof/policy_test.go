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
	// burstChanges is how many changes in a row must be in force everywhere.
	burstChanges = 20
	// inForceTarget is the stated time for a change to be in force everywhere. It
	// is demanded only if TANAGER_SECONDS is set, since machines of CI are noisy.
	inForceTarget = 4 * time.Second
	// never bounds waits for what must happen at some time.
	never = 60 * time.Second
)

// TestInvariantConfigPropagation races operators against each other while VMs
// are cut off, stopped and killed and the tables go down or lose answers. No
// accepted version may be lost or revert, no refused one may appear, and every
// VM that is reached must have the newest in force. TANAGER_SEED repeats a run.
func TestInvariantConfigPropagation(t *testing.T) {
	f := newPolicyFleet(t)
	p := &policyProof{t: t, fleet: f, random: f.random, seen: make(map[int64]string)}
	p.readNewest()
	stop := p.watchAll()
	p.burst()
	p.cutOff()
	p.chaos()
	p.heal()
	stop()
	p.judge()
}

// policyProof is one run.
type policyProof struct {
	t      *testing.T
	fleet  *policyFleet
	random *rand.Rand
	texts  atomic.Int64

	mu sync.Mutex
	// operations is what operators did and were told.
	operations []porcupine.Operation
	// seen maps the versions that VMs had in force to their documents.
	seen map[int64]string
}

// text returns a document that no other change has.
func (p *policyProof) text() string {
	return strings.Replace(policy.SampleText(), "burst: 400", fmt.Sprintf("burst: %d", 1000+p.texts.Add(1)), 1)
}

// burst applies changes as fast as one operator can and waits for the last.
func (p *policyProof) burst() {
	p.waitForce(1, p.fleet.vms)
	began := time.Now()
	var last changeAnswer
	expected := int64(1)
	for range burstChanges {
		if last = p.apply(0, p.fleet.vms[0], expected); last.kind != changeAccepted {
			p.t.Fatalf("a change on a calm fleet was not accepted: %+v", last)
		}
		expected = last.number
	}
	took := time.Since(began)
	p.waitForce(expected, p.fleet.vms)
	p.report(fmt.Sprintf("%d changes accepted in %v, the last in force on %d VMs", burstChanges, took.Round(time.Millisecond), policyVMs), time.Since(began)-took)
}

// cutOff cuts one VM off from the tables and one from everything. The first
// must learn of a change, the second must keep its version until it is healed.
func (p *policyProof) cutOff() {
	half, whole, rest := p.fleet.vms[1], p.fleet.vms[2], append([]*policyVM{p.fleet.vms[0], p.fleet.vms[1]}, p.fleet.vms[3:]...)
	half.cutTables(true)
	whole.cutTables(true)
	whole.cutPeers(true)
	before, _ := whole.number(p.t.Context())
	began := time.Now()
	changed := p.apply(0, p.fleet.vms[0], before)
	if changed.kind != changeAccepted {
		p.t.Fatalf("a change through a VM that reaches the tables was not accepted: %+v", changed)
	}
	p.waitForce(changed.number, rest)
	p.report("one VM cut off from the tables, a change in force", time.Since(began))
	if now, _ := whole.number(p.t.Context()); now != before {
		p.t.Errorf("a VM that is cut off from all went from version %d to %d", before, now)
	}
	p.checkShownUnknown(whole)
	half.cutTables(false)
	whole.cutTables(false)
	whole.cutPeers(false)
	began = time.Now()
	p.waitForce(changed.number, p.fleet.vms)
	p.report("a VM healed from a cut, the change in force", time.Since(began))
}

// checkShownUnknown demands that the status of another VM does not call a VM live.
func (p *policyProof) checkShownUnknown(vm *policyVM) {
	status, err := p.fleet.vms[0].client.GetStatus(p.t.Context())
	if err != nil {
		p.t.Errorf("status: %v", err)
		return
	}
	for i := range status.Vms {
		if status.Vms[i].Name == vm.name && status.Vms[i].State == operapi.VMStatusStateLive {
			p.t.Errorf("%s is cut off, but the status shows it as live", vm.name)
		}
	}
}

// chaos lets three operators race while faults come and go.
func (p *policyProof) chaos() {
	ctx, cancel := context.WithTimeout(p.t.Context(), 12*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for id := 1; id <= 3; id++ {
		group.Add(1)
		go (&policyOperator{proof: p, id: id, random: rand.New(rand.NewSource(p.random.Int63())), group: &group}).run(ctx)
	}
	for ctx.Err() == nil {
		p.strike()
		time.Sleep(time.Duration(100+p.random.Intn(500)) * time.Millisecond)
	}
	group.Wait()
}

// strike sets or heals one fault.
func (p *policyProof) strike() {
	vm := p.fleet.vms[p.random.Intn(policyVMs)]
	on := p.random.Intn(2) == 0
	switch p.random.Intn(7) {
	case 0:
		vm.cutTables(on)
	case 1:
		vm.cutPeers(on)
	case 2:
		paused := vm.cmd.Process
		_ = paused.Signal(syscall.SIGSTOP)
		time.AfterFunc(time.Duration(p.random.Intn(2500))*time.Millisecond, func() { _ = paused.Signal(syscall.SIGCONT) })
	case 3:
		p.fleet.setTables(faultapi.FaultKindDown, p.random)
	case 4:
		p.fleet.setTables(faultapi.FaultKindLostAnswer, p.random)
	case 5:
		p.fleet.setTables(faultapi.FaultKindNone, p.random)
	case 6:
		vm.replace()
	}
}

// heal ends all faults and waits until all VMs have the newest version.
func (p *policyProof) heal() {
	p.fleet.setTables(faultapi.FaultKindNone, p.random)
	for _, vm := range p.fleet.vms {
		vm.signal(syscall.SIGCONT)
		vm.cutTables(false)
		vm.cutPeers(false)
	}
	began := time.Now()
	newest := p.readNewest()
	p.waitForce(newest.number, p.fleet.vms)
	p.report(fmt.Sprintf("after all faults, version %d in force everywhere", newest.number), time.Since(began))
}

// readNewest reads the newest accepted version, as an operation of the history.
func (p *policyProof) readNewest() changeAnswer {
	deadline := time.Now().Add(never)
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
	p.t.Fatal("the history was never read")
	return changeAnswer{}
}

// waitForce waits until all the VMs have a version or a newer one.
func (p *policyProof) waitForce(number int64, vms []*policyVM) {
	p.t.Helper()
	deadline := time.Now().Add(never)
	for _, vm := range vms {
		for {
			has, _ := vm.number(p.t.Context())
			if has >= number {
				break
			}
			if time.Now().After(deadline) {
				p.t.Fatalf("%s has version %d; version %d was never in force there", vm.name, has, number)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (p *policyProof) report(what string, took time.Duration) {
	p.t.Logf("%s within %v", what, took.Round(time.Millisecond))
	if os.Getenv("TANAGER_SECONDS") != "" && took > inForceTarget {
		p.t.Errorf("%s took %v, more than %v", what, took, inForceTarget)
	}
}

// judge compares the history with what operators and VMs saw.
func (p *policyProof) judge() {
	history, err := p.fleet.vms[0].client.GetPolicyHistory(p.t.Context(), operapi.GetPolicyHistoryParams{Limit: operapi.NewOptInt(1000)})
	if err != nil {
		p.t.Fatal(err)
	}
	written := make(map[int64]string)
	for i := range history.Versions {
		written[history.Versions[i].Version] = history.Versions[i].Document
	}
	if newest := history.Versions[0].Version; int64(len(written)) != newest {
		p.t.Errorf("the history has %d versions up to %d", len(written), newest)
	}
	for number, document := range p.seen {
		if written[number] != document {
			p.t.Errorf("version %d was in force on a VM with another document than the history has", number)
		}
	}
	accepted, told := 0, make(map[changeKind]int)
	for _, operation := range p.operations {
		request, answer := operation.Input.(changeRequest), operation.Output.(changeAnswer)
		told[answer.kind]++
		if answer.kind == changeAccepted {
			accepted++
			if written[answer.number] != request.text {
				p.t.Errorf("accepted version %d is lost", answer.number)
			}
		}
	}
	p.t.Logf("operators were told: %v; versions in the history: %d", told, len(written))
	if accepted <= burstChanges+2 {
		p.t.Error("no version was accepted in the time of faults")
	}
	result, _ := porcupine.CheckOperationsVerbose(policyModel(), p.operations, never)
	if result != porcupine.Ok {
		p.t.Errorf("the history of operators' calls is %s", result)
	}
}

// changeKind is what an operator was told.
type changeKind string

const (
	changeAccepted changeKind = "accepted"
	changeConflict changeKind = "conflict"
	changeRefused  changeKind = "refused"
	changeUnknown  changeKind = "unknown"
	changeRead     changeKind = "read"
)

type changeRequest struct {
	expected int64
	text     string
}

type changeAnswer struct {
	kind   changeKind
	number int64
}

// policyModel is a version number that grows by one with each accepted change
// that expected it. A change of unknown outcome may have been accepted or not.
func policyModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		// The fleet starts with its first version accepted.
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

// apply asks a VM for a change and records what it said.
func (p *policyProof) apply(client int, vm *policyVM, expected int64) changeAnswer {
	request := changeRequest{expected: expected, text: p.text()}
	called := time.Now().UnixNano()
	response, err := vm.client.ApplyPolicy(context.Background(), &operapi.PolicyApply{
		ExpectedVersion: expected, Author: "prover", Reason: "The proof changes the default burst.", Document: request.text,
	})
	answer := readAnswer(response, err)
	returned := time.Now().UnixNano()
	if answer.kind == changeUnknown {
		returned = math.MaxInt64
	}
	p.record(client, request, answer, called, returned)
	return answer
}

func readAnswer(response operapi.ApplyPolicyRes, err error) changeAnswer {
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

func (p *policyProof) record(client int, request changeRequest, answer changeAnswer, called, returned int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.operations = append(p.operations, porcupine.Operation{ClientId: client, Input: request, Call: called, Output: answer, Return: returned})
}

// policyOperator applies changes in a row through VMs that it picks by chance.
type policyOperator struct {
	proof  *policyProof
	id     int
	random *rand.Rand
	group  *sync.WaitGroup
}

func (o *policyOperator) run(ctx context.Context) {
	defer o.group.Done()
	for ctx.Err() == nil {
		vm := o.proof.fleet.vms[o.random.Intn(policyVMs)]
		expected, _ := vm.number(ctx)
		if expected > 0 {
			o.proof.apply(o.id, vm, expected)
		}
		time.Sleep(time.Duration(o.random.Intn(150)) * time.Millisecond)
	}
}

// watchAll watches the version in force on every VM until the returned function is called.
func (p *policyProof) watchAll() func() {
	ctx, cancel := context.WithCancel(p.t.Context())
	var group sync.WaitGroup
	for _, vm := range p.fleet.vms {
		w := &policyWatcher{proof: p, vm: vm, group: &group}
		group.Add(1)
		go w.run(ctx)
	}
	return func() { cancel(); group.Wait() }
}

// policyWatcher reports a VM whose version falls.
type policyWatcher struct {
	proof *policyProof
	vm    *policyVM
	group *sync.WaitGroup
}

func (w *policyWatcher) run(ctx context.Context) {
	defer w.group.Done()
	var highest, instance int64
	for ctx.Err() == nil {
		before := w.vm.instance.Load()
		number, document := w.vm.number(ctx)
		if before != w.vm.instance.Load() {
			continue
		}
		if before != instance {
			highest, instance = 0, before
		}
		if number > 0 {
			w.see(number, document, highest)
			highest = max(highest, number)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *policyWatcher) see(number int64, document string, highest int64) {
	if number < highest {
		w.proof.t.Errorf("%s went back from version %d to %d", w.vm.name, highest, number)
	}
	w.proof.mu.Lock()
	defer w.proof.mu.Unlock()
	if before, ok := w.proof.seen[number]; ok && before != document {
		w.proof.t.Errorf("version %d has two documents", number)
	}
	w.proof.seen[number] = document
}
