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

// standIn is a stand-in process with its control API.
type standIn struct {
	*process
	t      *testing.T
	client *faultapi.Client
}

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
