package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	memberapi "tanagerstack.org/core/api/member"
	operapi "tanagerstack.org/core/api/oper"
)

// entryVM is an entry VM process with the forwarders of its connections.
type entryVM struct {
	*process
	fleet                            *fleet
	domain, region                   string
	ip                               netip.Addr
	callers, operators, debug, peers netip.AddrPort
	// peerLink forwards datagrams of other entry VMs to this one.
	peerLink *udpLink
	// platformLinks forward connections to the tables, objects and members services.
	platformLinks []*tcpLink
}

// entryName returns the name of entry VM n of failure domain d; both count from 0.
func entryName(d, n int) string { return fmt.Sprintf("%s-%d", domainNames[d], n+1) }

// startEntry starts entry VM n of failure domain d and its forwarders, and puts it on
// the list of members.
func (f *fleet) startEntry(d, n int) {
	vm := &entryVM{
		fleet: f, domain: domainNames[d], region: regionNames[d], ip: f.address(1+d, 1+n, 0).Addr(),
		callers: f.address(1+d, 1+n, 8080), operators: f.address(1+d, 1+n, 8090),
		debug: f.address(1+d, 1+n, 8099), peers: f.address(1+d, 1+n, 7400),
	}
	linkAddress := f.address(11+d, 1+n, 7400)
	vm.peerLink = newUDPLink(f.t, linkAddress, vm.peers)
	args := vm.flags(entryName(d, n), f.seeds())
	for _, service := range []struct {
		flag string
		port uint16
	}{{"--tables-address", 7001}, {"--objects-address", 7002}, {"--members-address", 7003}} {
		at := f.address(21+d, 1+n, service.port)
		vm.platformLinks = append(vm.platformLinks, newTCPLink(f.t, at, f.address(0, 1, service.port)))
		args = append(args, service.flag, at.String())
	}
	vm.process = startProcess(f.t, f.directory, entryName(d, n), "tanager-entry", append(args, f.opts.extraFlags...)...)
	f.entries = append(f.entries, vm)
	f.putMember(vm.member(memberapi.MemberStateLive))
}

// seeds returns the value of the seeds flag: the first entry VM of each failure domain.
func (f *fleet) seeds() string {
	var seeds []string
	for d := range f.opts.domains {
		seeds = append(seeds, entryName(d, 0)+"="+f.address(11+d, 1, 7400).String())
	}
	return strings.Join(seeds, ",")
}

// flags returns the flags of the VM's process, without those of the platform.
func (vm *entryVM) flags(name, seeds string) []string {
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

// member returns the entry of the VM in the list of members.
func (vm *entryVM) member(state memberapi.MemberState) memberapi.Member {
	linkAddress := vm.peerLink.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return memberapi.Member{
		Name: vm.name, Kind: memberapi.MemberKindEntry, State: state, Address: vm.callers.String(),
		PeerAddress: memberapi.NewOptString(linkAddress.String()), Domain: vm.domain, Region: vm.region,
	}
}

// putMember adds a VM to the list of members, or replaces its entry.
func (f *fleet) putMember(vm memberapi.Member) {
	f.t.Helper()
	client, err := memberapi.NewClient("http://" + f.address(0, 1, 7003).String())
	if err != nil {
		f.t.Fatal(err)
	}
	if err := client.PutMember(context.Background(), &vm, memberapi.PutMemberParams{Name: vm.Name}); err != nil {
		f.t.Fatal(err)
	}
}

// markGone lists an entry VM as gone.
func (f *fleet) markGone(vm *entryVM) { f.putMember(vm.member(memberapi.MemberStateGone)) }

// restart starts a new process for a VM whose process has ended.
func (vm *entryVM) restart() { vm.start(vm.fleet.t) }

// operatorTokenSource supplies the token of the operator to the generated client.
type operatorTokenSource struct{}

func (operatorTokenSource) Token(context.Context, operapi.OperationName) (operapi.Token, error) {
	return operapi.Token{Token: operatorToken}, nil
}

// operatorsClient returns a client of the VM's operators' API, with a timeout of 3 s
// for each call.
func (vm *entryVM) operatorsClient() *operapi.Client {
	client, err := operapi.NewClient("http://"+vm.operators.String(), operatorTokenSource{},
		operapi.WithClient(&http.Client{Timeout: 3 * time.Second}))
	if err != nil {
		vm.fleet.t.Fatal(err)
	}
	return client
}

// ready reports whether /readyz of the VM answers with status 200.
func (vm *entryVM) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + vm.debug.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the VM is ready, and fails the test after readyTimeout.
func (vm *entryVM) awaitReady() {
	vm.fleet.t.Helper()
	vm.fleet.await(vm.process, readyTimeout, vm.ready)
}
