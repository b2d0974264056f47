package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"sigs.k8s.io/yaml"

	faultapi "tanagerstack.org/core/api/fault"
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

// entryVM is one entry VM with its links.
type entryVM struct {
	*process
	fleet                            *fleet
	domain, region                   string
	ip                               netip.Addr
	callers, operators, debug, peers netip.AddrPort
	peerLink                         *udpLink
	platform                         []*tcpLink
}

// standIn is a stand-in process with its control API.
type standIn struct {
	*process
	t      *testing.T
	client *faultapi.Client
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
		t.Cleanup(func() { _ = lock.Close() })
		return block
	}
	t.Fatal("no block of loopback addresses is free")
	return 0
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

func entryName(d, n int) string { return fmt.Sprintf("%s-%d", domainNames[d], n+1) }

func (f *fleet) startStandIn(name string, control netip.AddrPort, args ...string) *standIn {
	args = append([]string{name, "--control-address", control.String()}, args...)
	p := startProcess(f.t, f.directory, name, "tanager-stand", args...)
	client, err := faultapi.NewClient("http://" + control.String())
	if err != nil {
		f.t.Fatal(err)
	}
	s := &standIn{process: p, t: f.t, client: client}
	f.await(p, readyPatience, func() bool { _, err := client.GetRecord(context.Background()); return err == nil })
	return s
}

func (f *fleet) startPlatform() {
	f.tables = f.startStandIn("tables", f.address(0, 1, 7101), "--address", f.address(0, 1, 7001).String())
	f.objects = f.startStandIn("objects", f.address(0, 1, 7102), "--address", f.address(0, 1, 7002).String())
	f.members = f.startStandIn("members", f.address(0, 1, 7103), "--address", f.address(0, 1, 7003).String(),
		"--lag", f.opts.lag.String())
}

// domainsFlag returns the failure domains as the stand-ins take them.
func (f *fleet) domainsFlag() string {
	var pairs []string
	for d := range f.opts.domains {
		pairs = append(pairs, domainNames[d]+"="+regionNames[d])
	}
	return strings.Join(pairs, ",")
}

func (f *fleet) startTargets() {
	if f.opts.targets == 0 {
		return
	}
	args := []string{
		"--domain", f.domainsFlag(), "--count", strconv.Itoa(f.opts.targets), "--slots", strconv.Itoa(f.opts.slots),
		"--work", f.opts.work.String(), "--address", f.address(100, 1, 8080).String(),
	}
	if !f.opts.targetLinks {
		args = append(args, "--members-address", f.address(0, 1, 7003).String())
	}
	f.targets = f.startStandIn("targets", f.address(0, 1, 7104), args...)
	for i := range f.opts.domains * f.opts.targets {
		d := i / f.opts.targets
		vm := memberapi.Member{
			Name: fmt.Sprintf("%s-t%03d", domainNames[d], i%f.opts.targets+1), Kind: memberapi.MemberKindTarget,
			State: memberapi.MemberStateLive, Domain: domainNames[d], Region: regionNames[d],
			Address: f.address(100, 1+i, 8080).String(), Slots: memberapi.NewOptInt(f.opts.slots),
			Service: memberapi.NewOptString("booking"),
		}
		if f.opts.targetLinks {
			link := newTCPLink(f.t, f.address(101, 1+i, 8080), f.address(100, 1+i, 8080))
			f.targetLinks = append(f.targetLinks, link)
			vm.Address = f.address(101, 1+i, 8080).String()
			f.list(vm)
		}
		f.targetVMs = append(f.targetVMs, vm)
	}
}

func (f *fleet) startWorkers() {
	if f.opts.workers == 0 {
		return
	}
	f.workers = f.startStandIn("workers", f.address(0, 1, 7105), "--domain", f.domainsFlag(),
		"--count", strconv.Itoa(f.opts.workers), "--address", f.address(150, 1, 8081).String(),
		"--members-address", f.address(0, 1, 7003).String())
}

func (f *fleet) startEntry(d, n int) {
	vm := &entryVM{
		fleet: f, domain: domainNames[d], region: regionNames[d], ip: f.address(1+d, 1+n, 0).Addr(),
		callers: f.address(1+d, 1+n, 8080), operators: f.address(1+d, 1+n, 8090),
		debug: f.address(1+d, 1+n, 8099), peers: f.address(1+d, 1+n, 7400),
	}
	front := f.address(11+d, 1+n, 7400)
	vm.peerLink = newUDPLink(f.t, front, vm.peers)
	args := vm.settings(entryName(d, n), f.seeds())
	for _, service := range []struct {
		flag string
		port uint16
	}{{"--tables-address", 7001}, {"--objects-address", 7002}, {"--members-address", 7003}} {
		at := f.address(21+d, 1+n, service.port)
		vm.platform = append(vm.platform, newTCPLink(f.t, at, f.address(0, 1, service.port)))
		args = append(args, service.flag, at.String())
	}
	vm.process = startProcess(f.t, f.directory, entryName(d, n), "tanager-entry", append(args, f.opts.settings...)...)
	f.entries = append(f.entries, vm)
	f.list(vm.member(memberapi.MemberStateLive))
}

// seeds names the first entry VM of each failure domain.
func (f *fleet) seeds() string {
	var seeds []string
	for d := range f.opts.domains {
		seeds = append(seeds, entryName(d, 0)+"="+f.address(11+d, 1, 7400).String())
	}
	return strings.Join(seeds, ",")
}

func (vm *entryVM) settings(name, seeds string) []string {
	sum := sha256.Sum256([]byte(operatorToken))
	keys := filepath.Join(vm.fleet.directory, "keys")
	return []string{
		"--name", name, "--domain", vm.domain, "--region", vm.region,
		"--callers-address", vm.callers.String(), "--operators-address", vm.operators.String(),
		"--debug-address", vm.debug.String(), "--peers-address", vm.peers.String(), "--seeds", seeds,
		"--ca-file", filepath.Join(keys, "ca.pem"), "--cert-file", filepath.Join(keys, name+".pem"),
		"--key-file", filepath.Join(keys, name+"-key.pem"),
		"--operator-tokens", "proof=" + hex.EncodeToString(sum[:]),
	}
}

// member returns the VM as the platform lists it.
func (vm *entryVM) member(state memberapi.MemberState) memberapi.Member {
	front := vm.peerLink.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return memberapi.Member{
		Name: vm.name, Kind: memberapi.MemberKindEntry, State: state, Address: vm.callers.String(),
		PeerAddress: memberapi.NewOptString(front.String()), Domain: vm.domain, Region: vm.region,
	}
}

// list puts a VM on the platform's list, or changes it.
func (f *fleet) list(vm memberapi.Member) {
	f.t.Helper()
	client, err := memberapi.NewClient("http://" + f.address(0, 1, 7003).String())
	if err != nil {
		f.t.Fatal(err)
	}
	if err := client.PutMember(context.Background(), &vm, memberapi.PutMemberParams{Name: vm.Name}); err != nil {
		f.t.Fatal(err)
	}
}

// gone makes the platform drop an entry VM from its list.
func (f *fleet) gone(vm *entryVM) { f.list(vm.member(memberapi.MemberStateGone)) }

// restart starts a new process of a VM that was killed or stopped.
func (vm *entryVM) restart() { vm.start(vm.fleet.t) }

// applyPolicy applies the first policy through the first entry VM.
func (f *fleet) applyPolicy() {
	f.t.Helper()
	document, err := policy.Decode(policy.DefaultText())
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

// operatorBearer gives the operator's token to the generated client.
type operatorBearer struct{}

func (operatorBearer) Token(context.Context, operapi.OperationName) (operapi.Token, error) {
	return operapi.Token{Token: operatorToken}, nil
}

// operatorsClient returns a client of the VM's operators' API.
func (vm *entryVM) operatorsClient() *operapi.Client {
	client, err := operapi.NewClient("http://"+vm.operators.String(), operatorBearer{},
		operapi.WithClient(&http.Client{Timeout: 3 * time.Second}))
	if err != nil {
		vm.fleet.t.Fatal(err)
	}
	return client
}

// ready reports whether the VM says that it is ready.
func (vm *entryVM) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + vm.debug.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the VM is ready.
func (vm *entryVM) awaitReady() {
	vm.fleet.t.Helper()
	vm.fleet.await(vm.process, readyPatience, vm.ready)
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

// fault sets a fault of the stand-in.
func (s *standIn) fault(kind faultapi.FaultKind) { s.setFault(faultapi.Fault{Kind: kind}) }

// setFault sets a fault with its delay, probability or VM.
func (s *standIn) setFault(fault faultapi.Fault) {
	s.t.Helper()
	if err := s.client.SetFault(context.Background(), &fault); err != nil {
		s.t.Fatal(err)
	}
}

// record returns what the stand-in recorded.
func (s *standIn) record() *faultapi.Record {
	s.t.Helper()
	record, err := s.client.GetRecord(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	return record
}

// executions returns how often a request, or a task JOB/INDEX, ran.
func (s *standIn) executions(id string) int64 {
	s.t.Helper()
	counts, err := s.client.ListRunCounts(context.Background(), &faultapi.RunCountRequest{IDs: []string{id}})
	if err != nil {
		s.t.Fatal(err)
	}
	return counts.Counts[0].Executions
}

// cutPeers lets no datagram pass between two entry VMs.
func (f *fleet) cutPeers(a, b *entryVM)  { f.setPeers(a, b, true) }
func (f *fleet) mendPeers(a, b *entryVM) { f.setPeers(a, b, false) }

func (f *fleet) setPeers(a, b *entryVM, cut bool) {
	a.peerLink.setCut(b.ip, cut)
	b.peerLink.setCut(a.ip, cut)
}

// cutDomain cuts all entry VMs of a failure domain off from those of others.
func (f *fleet) cutDomain(domain string, cut bool) {
	for _, a := range f.entries {
		for _, b := range f.entries {
			if a.domain == domain && b.domain != domain {
				f.setPeers(a, b, cut)
			}
		}
	}
}

// cutPlatform closes an entry VM's connections to the platform and refuses new ones.
func (f *fleet) cutPlatform(vm *entryVM) {
	for _, link := range vm.platform {
		link.cut.Store(true)
		link.drop()
	}
}

func (f *fleet) mendPlatform(vm *entryVM) {
	for _, link := range vm.platform {
		link.cut.Store(false)
	}
}

// silencePlatform lets an entry VM's open connections to the platform go silent for good.
func (f *fleet) silencePlatform(vm *entryVM) {
	for _, link := range vm.platform {
		link.silence()
	}
}

// silenceTarget lets the open connections to a target go silent for good. It needs targetLinks.
func (f *fleet) silenceTarget(number int) { f.targetLinks[number].silence() }

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
