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
	// operatorToken is the token for the operators' API of all entry VMs.
	operatorToken = "proof-operator"
	// readyTimeout is how long a process may take to be ready.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between checks of a condition that a test waits for.
	pollInterval = 20 * time.Millisecond
)

// options describe a fleet. Entries, targets and workers are counts per failure domain.
type options struct {
	domains, entries, targets, workers int
	// slots is the number of slots of each target; 8 if zero.
	slots int
	// requestTime is how long a target runs a request; 5 ms if zero.
	requestTime time.Duration
	// membershipLag is how long the list of members takes to show a change; 500 ms if
	// zero.
	membershipLag time.Duration
	// policy modifies the sample policy before it is applied; no change if nil.
	policy func(*policy.Document)
	// targetLinks puts a forwarder in front of each target. The test then lists the
	// targets itself.
	targetLinks bool
	// extraFlags are additional flags of all entry VMs.
	extraFlags []string
}

// domainNames and regionNames are the names in the sample policy.
var (
	domainNames = []string{"zurich-a", "geneva-a", "basel-a"}
	regionNames = []string{"zurich", "geneva", "basel"}
)

// fleet is a set of running entry VMs and the fake services around them.
type fleet struct {
	t      *testing.T
	opts   options
	random *rand.Rand
	// block is the second byte of all addresses, 127.BLOCK.x.y.
	block     int
	directory string

	tables, objects, members, targets, workers *fakeService
	entries                                    []*entryVM
	targetVMs                                  []memberapi.Member
	targetLinks                                []*tcpLink
}

// startFleet starts a fleet and waits until all entry VMs are ready. It skips the test
// with -short.
func startFleet(t *testing.T, opts options) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("skipped with -short: starts processes")
	}
	if _, err := build(); err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, opts: opts.withDefaults(), random: newRandom(t), block: reserveBlock(t), directory: t.TempDir()}
	f.issueKeys()
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
	if o.requestTime == 0 {
		o.requestTime = 5 * time.Millisecond
	}
	if o.membershipLag == 0 {
		o.membershipLag = 500 * time.Millisecond
	}
	return o
}

// newRandom returns a random source with the seed in TANAGER_SEED, or one from the
// clock if it is not set. It logs the seed.
func newRandom(t *testing.T) *rand.Rand {
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

// reserveBlock reserves a block of loopback addresses until the end of the test, with a
// listener that serves as a lock. It returns the second byte of the addresses.
func reserveBlock(t *testing.T) int {
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

// isFree reports whether no process listens on the main ports of a fleet in the block.
// This finds fleets that were not started by tests, which take no lock.
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

// issueKeys issues a certificate and key for each entry VM.
func (f *fleet) issueKeys() {
	var names []string
	for d := range f.opts.domains {
		for n := range f.opts.entries {
			names = append(names, entryName(d, n))
		}
	}
	cmd := exec.Command(filepath.Join(programs, "tanager"), "keys", "--out", f.file("keys"), "--names", strings.Join(names, ","))
	if output, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("issuing keys: %v\n%s", err, output)
	}
}

// file returns the path of a file in the directory of the fleet.
func (f *fleet) file(name string) string { return filepath.Join(f.directory, name) }

// applyPolicy applies the first policy through the first entry VM. Callers whose
// failure domain is not in the fleet are moved to the first domain.
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
	f.await(f.entries[0].process, readyTimeout, func() bool {
		_, err = client.ApplyPolicy(context.Background(), apply)
		return err == nil || !strings.Contains(err.Error(), "refused")
	})
	if err != nil {
		f.t.Fatalf("applying first policy: %v", err)
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

// await waits until condition returns true. It fails the test if the process ends or
// the timeout passes first.
func (f *fleet) await(p *process, timeout time.Duration, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
		select {
		case <-p.done:
			f.t.Fatalf("%s ended unexpectedly", p.name)
		default:
		}
	}
	f.t.Fatalf("%s: condition not met within %s", p.name, timeout)
}

// loadOptions returns options for load.Run against all VMs of the fleet.
func (f *fleet) loadOptions(duration time.Duration) load.Options {
	opts := load.Options{
		OperatorToken: operatorToken, Service: "booking", Work: "transcoding", Seed: f.random.Int63(),
		Callers:  []load.Caller{{Name: "hosts", Token: "dev-hosts"}, {Name: "partners", Token: "dev-partners"}, {Name: "farms", Token: "dev-farms"}},
		Duration: duration, RequestsPerSecond: 200, JobsPerSecond: 3, MaxInFlight: 256,
		Window: 2 * time.Second, JobWindow: 15 * time.Second, PolicyChangeInterval: time.Second,
		MaxPolicyDelay: 4 * time.Second, MinAccepted: 1,
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
