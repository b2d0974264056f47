package proof

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"sigs.k8s.io/yaml"

	memberapi "tanagerstack.org/core/api/member"
	operapi "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/stand/load"
)

const (
	// operatorToken opens the operators' API of all entry VMs.
	operatorToken = "proof-operator"
	// readyPatience is how long a fleet may take to be ready.
	readyPatience = 20 * time.Second
	// pollEvery is the time between questions that are repeated until they are answered.
	pollEvery = 20 * time.Millisecond
)

// options describe a fleet. The counts are for each failure domain.
type options struct {
	domains, entries, targets, workers int
	// slots of a target; 8 if zero.
	slots int
	// work is how long a request takes; 5ms if zero.
	work time.Duration
	// lag is the lag of the membership list; 500ms if zero.
	lag time.Duration
	// policy changes the sample policy before it is applied.
	policy func(*policy.Document)
	// targetLinks puts a forwarder in front of each target.
	targetLinks bool
	// settings are further flags of all entry VMs.
	settings []string
}

// region and domain names are those of the sample policy.
var (
	domainNames = []string{"zurich-a", "geneva-a", "basel-a"}
	regionNames = []string{"zurich", "geneva", "basel"}
)

// fleet is a running product with its surroundings.
type fleet struct {
	t      *testing.T
	opts   options
	random *rand.Rand
	// block is the second number of all addresses, 127.BLOCK.x.y.
	block     int
	directory string

	tables, objects, members, targets, workers *standIn
	entries                                    []*entryVM
	targetVMs                                  []memberapi.Member
	targetLinks                                []*tcpLink
}

// startFleet starts a fleet and waits until it is ready.
func startFleet(t *testing.T, opts options) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	if _, err := build(); err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, opts: opts.withDefaults(), random: seeded(t), block: takeBlock(t), directory: t.TempDir()}
	f.makeKeys()
	f.startPlatform()
	f.startTargets()
	f.startWorkers()
	for d := range f.opts.domains {
		for n := range f.opts.entries {
			f.startEntry(d, n)
		}
	}
	f.applyPolicy()
	for _, vm := range f.entries {
		vm.awaitReady()
	}
	return f
}

func (o options) withDefaults() options {
	if o.slots == 0 {
		o.slots = 8
	}
	if o.work == 0 {
		o.work = 5 * time.Millisecond
	}
	if o.lag == 0 {
		o.lag = 500 * time.Millisecond
	}
	return o
}

// seeded returns the test's randomness; TANAGER_SEED repeats a run.
func seeded(t *testing.T) *rand.Rand {
	t.Helper()
	seed := time.Now().UnixNano()
	if text := os.Getenv("TANAGER_SEED"); text != "" {
		given, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatalf("TANAGER_SEED: %v", err)
		}
		seed = given
	}
	t.Logf("seed %d (repeat with TANAGER_SEED=%d)", seed, seed)
	return rand.New(rand.NewSource(seed))
}

// takeBlock reserves a block of loopback addresses for the length of the test.
func takeBlock(t *testing.T) int {
	t.Helper()
	for range 200 {
		block := 16 + rand.Intn(230)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:7999", block))
		if err != nil {
			continue
		}
		if !isFree(block) {
			_ = lock.Close()
			continue
		}
		t.Cleanup(func() { _ = lock.Close() })
		return block
	}
	t.Fatal("no block of loopback addresses is free")
	return 0
}

// isFree reports whether nobody listens on the ports that each fleet of a block
// needs first; fleets that were not started by tests take no lock.
func isFree(block int) bool {
	for _, address := range []string{"0.1:7001", "0.1:7002", "0.1:7003", "1.1:8080", "100.1:8080", "150.1:8081"} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%s", block, address))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// address returns 127.BLOCK.third.fourth:port.
func (f *fleet) address(third, fourth int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.block), byte(third), byte(fourth)}), port)
}

func (f *fleet) makeKeys() {
	var names []string
	for d := range f.opts.domains {
		for n := range f.opts.entries {
			names = append(names, entryName(d, n))
		}
	}
	cmd := exec.Command(filepath.Join(programs, "tanager"), "keys", "--out", f.file("keys"), "--names", strings.Join(names, ","))
	if output, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("making keys: %v\n%s", err, output)
	}
}

func (f *fleet) file(name string) string { return filepath.Join(f.directory, name) }

// applyPolicy applies the first policy through the first entry VM.
func (f *fleet) applyPolicy() {
	f.t.Helper()
	document, err := policy.Decode(policy.SampleText())
	if err != nil {
		f.t.Fatal(err)
	}
	for name, caller := range document.Callers {
		if !f.hasDomain(caller.Domain) {
			caller.Domain = domainNames[0]
			document.Callers[name] = caller
		}
	}
	if f.opts.policy != nil {
		f.opts.policy(document)
	}
	text, err := yaml.Marshal(document)
	if err != nil {
		f.t.Fatal(err)
	}
	client := f.entries[0].operatorsClient()
	apply := &operapi.PolicyApply{Author: "proof", Reason: "The first policy of a test fleet.", Document: string(text)}
	f.await(f.entries[0].process, readyPatience, func() bool {
		_, err = client.ApplyPolicy(context.Background(), apply)
		return err == nil || !strings.Contains(err.Error(), "refused")
	})
	if err != nil {
		f.t.Fatalf("first policy: %v", err)
	}
}

func (f *fleet) hasDomain(name string) bool {
	for d := range f.opts.domains {
		if domainNames[d] == name {
			return true
		}
	}
	return false
}

// await repeats holds until it is true; a process that ends or takes too long
// fails the test.
func (f *fleet) await(p *process, patience time.Duration, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pollEvery) {
		if holds() {
			return
		}
		select {
		case <-p.done:
			f.t.Fatalf("%s ended", p.name)
		default:
		}
	}
	f.t.Fatalf("%s was not as awaited within %s", p.name, patience)
}

// loadOptions returns options for load.Run against the whole fleet.
func (f *fleet) loadOptions(duration time.Duration) load.Options {
	opts := load.Options{
		OperatorToken: operatorToken, Service: "booking", Work: "transcoding", Seed: f.random.Int63(),
		Callers:  []load.Caller{{Name: "hosts", Token: "dev-hosts"}, {Name: "partners", Token: "dev-partners"}, {Name: "farms", Token: "dev-farms"}},
		Duration: duration, RequestsPerSecond: 200, JobsPerSecond: 3, InFlight: 256,
		Window: 2 * time.Second, JobWindow: 15 * time.Second, ChangeEvery: time.Second,
		PolicyLimit: 4 * time.Second, MinAccepted: 1,
	}
	for _, vm := range f.entries {
		opts.Entries = append(opts.Entries, vm.callers)
		opts.Operators = append(opts.Operators, vm.operators)
	}
	if f.opts.targets > 0 {
		opts.TargetControls = []netip.AddrPort{f.address(0, 1, 7104)}
	}
	if f.opts.workers > 0 {
		opts.WorkerControls = []netip.AddrPort{f.address(0, 1, 7105)}
	}
	return opts
}
