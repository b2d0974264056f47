package proof

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	faultapi "tanagerstack.org/core/api/fault"
	memberapi "tanagerstack.org/core/api/member"
)

// fakeService is the process of a fake service with a client of its control API.
type fakeService struct {
	*process
	t      *testing.T
	client *faultapi.Client
}

// startFake starts a fake service and waits until its control API answers.
func (f *fleet) startFake(name string, control netip.AddrPort, args ...string) *fakeService {
	args = append([]string{name, "--control-address", control.String()}, args...)
	p := startProcess(f.t, f.directory, name, "tanager-stand", args...)
	client, err := faultapi.NewClient("http://" + control.String())
	if err != nil {
		f.t.Fatal(err)
	}
	s := &fakeService{process: p, t: f.t, client: client}
	f.await(p, readyTimeout, func() bool { _, err := client.GetRecord(context.Background()); return err == nil })
	return s
}

// startPlatform starts the fake tables, objects and members services.
func (f *fleet) startPlatform() {
	f.tables = f.startFake("tables", f.address(0, 1, 7101), "--address", f.address(0, 1, 7001).String())
	f.objects = f.startFake("objects", f.address(0, 1, 7102), "--address", f.address(0, 1, 7002).String())
	f.members = f.startFake("members", f.address(0, 1, 7103), "--address", f.address(0, 1, 7003).String(),
		"--lag", f.opts.membershipLag.String())
}

// domainsFlag returns the value of the domain flag of the fake services, as
// DOMAIN=REGION,...
func (f *fleet) domainsFlag() string {
	var pairs []string
	for d := range f.opts.domains {
		pairs = append(pairs, domainNames[d]+"="+regionNames[d])
	}
	return strings.Join(pairs, ",")
}

// startTargets starts the fake targets, if there are any. With options.targetLinks it
// also starts their forwarders and puts the targets on the list of members.
func (f *fleet) startTargets() {
	if f.opts.targets == 0 {
		return
	}
	args := []string{
		"--domain", f.domainsFlag(), "--count", strconv.Itoa(f.opts.targets), "--slots", strconv.Itoa(f.opts.slots),
		"--work", f.opts.requestTime.String(), "--address", f.address(100, 1, 8080).String(),
	}
	if !f.opts.targetLinks {
		args = append(args, "--members-address", f.address(0, 1, 7003).String())
	}
	f.targets = f.startFake("targets", f.address(0, 1, 7104), args...)
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
			f.putMember(vm)
		}
		f.targetVMs = append(f.targetVMs, vm)
	}
}

// startWorkers starts the fake workers, if there are any.
func (f *fleet) startWorkers() {
	if f.opts.workers == 0 {
		return
	}
	f.workers = f.startFake("workers", f.address(0, 1, 7105), "--domain", f.domainsFlag(),
		"--count", strconv.Itoa(f.opts.workers), "--address", f.address(150, 1, 8081).String(),
		"--members-address", f.address(0, 1, 7003).String())
}

// setFaultKind sets a fault of the given kind at the fake service, for all its VMs and
// requests.
func (s *fakeService) setFaultKind(kind faultapi.FaultKind) { s.setFault(faultapi.Fault{Kind: kind}) }

// setFault sets a fault, which may have a delay, a probability or a single VM. It replaces
// the fault in force.
func (s *fakeService) setFault(fault faultapi.Fault) {
	s.t.Helper()
	if err := s.client.SetFault(context.Background(), &fault); err != nil {
		s.t.Fatal(err)
	}
}

// record returns the totals that the fake service recorded.
func (s *fakeService) record() *faultapi.Record {
	s.t.Helper()
	record, err := s.client.GetRecord(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	return record
}

// executions returns how often the request or task with the ID ran. The ID of a task is
// JOB/INDEX.
func (s *fakeService) executions(id string) int64 {
	s.t.Helper()
	counts, err := s.client.ListRunCounts(context.Background(), &faultapi.RunCountRequest{IDs: []string{id}})
	if err != nil {
		s.t.Fatal(err)
	}
	return counts.Counts[0].Executions
}
