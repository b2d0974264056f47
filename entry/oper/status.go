package oper

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/roster"
)

// statusRequest asks a VM for its own status.
type statusRequest struct{}

// Kind returns the message kind.
func (statusRequest) Kind() string { return "status" }

// statusResponse is the status that a VM reports of itself.
type statusResponse struct {
	Domain         string    `cbor:"1,keyasint"`
	Region         string    `cbor:"2,keyasint"`
	PolicyVersion  int64     `cbor:"3,keyasint"`
	Roles          []string  `cbor:"4,keyasint"`
	StoreReachable bool      `cbor:"5,keyasint"`
	ListAsOf       time.Time `cbor:"6,keyasint"`
	// UnreadablePolicy is the number of the last policy version that the VM could not decode, or 0.
	UnreadablePolicy int64 `cbor:"7,keyasint,omitempty"`
}

func (o *Service) handleStatus(context.Context, peer.Identity, statusRequest) (statusResponse, error) {
	return o.ownStatus(), nil
}

func (o *Service) ownStatus() statusResponse {
	a := statusResponse{
		Domain:           o.opts.Domain,
		Region:           o.opts.Region,
		PolicyVersion:    activeNumber(o.opts.Policy),
		Roles:            o.opts.Roles(),
		StoreReachable:   o.opts.Tables.Reachable(),
		UnreadablePolicy: o.poller.unreadable.Load(),
	}
	if view := o.opts.Roster(); view != nil {
		a.ListAsOf = view.ListAsOf
	}
	return a
}

// GetStatus returns the status that each VM reports of itself, with notes on problems. A
// VM that does not answer has the state unknown.
func (h *handler) GetStatus(ctx context.Context) (*api.Status, error) {
	o := h.service
	responses := queryAll[statusResponse](ctx, &o.opts, statusRequest{})
	responses.byVM[o.opts.Name] = o.ownStatus()
	status := &api.Status{
		VM:             o.opts.Name,
		AsOf:           o.opts.Now(),
		StoreReachable: api.NewOptBool(o.opts.Tables.Reachable()),
		Vms:            []api.VMStatus{},
		Notes:          []string{},
	}
	for _, vm := range o.fleet() {
		response, answered := responses.byVM[vm.Name]
		status.Vms = append(status.Vms, vmStatus(vm, response, answered, o.opts.Now()))
		status.Notes = append(status.Notes, vmNotes(vm.Name, response, answered)...)
	}
	status.Notes = append(status.Notes, versionNotes(status.Vms)...)
	if v := o.opts.Policy.Current(); v != nil {
		status.Notes = append(status.Notes, v.Document.Lint(o.opts.Now())...)
	}
	return status, nil
}

// fleet returns all entry VMs that this VM knows, including itself, sorted by name.
func (o *Service) fleet() []roster.VM {
	all := []roster.VM{{Name: o.opts.Name, Domain: o.opts.Domain, Region: o.opts.Region, State: roster.Live}}
	if view := o.opts.Roster(); view != nil {
		for i := range view.VMs {
			if view.VMs[i].Name == o.opts.Name {
				all[0] = view.VMs[i]
			} else {
				all = append(all, view.VMs[i])
			}
		}
	}
	slices.SortFunc(all, func(a, b roster.VM) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// vmStatus returns the status of vm. If the VM has not answered, the status has the version of the
// VM's last heartbeat and the state unknown.
func vmStatus(vm roster.VM, a statusResponse, answered bool, now time.Time) api.VMStatus {
	s := api.VMStatus{
		Name:          vm.Name,
		Domain:        vm.Domain,
		Region:        optional(vm.Region),
		State:         api.VMStatusStateUnknown,
		PolicyVersion: vm.PolicyVersion,
		HeardAt:       vm.LastHeartbeatAt,
		Roles:         []string{},
	}
	if vm.CallersAddress != (netip.AddrPort{}) {
		s.Address = api.NewOptString(vm.CallersAddress.String())
	}
	if !answered {
		return s
	}
	s.State = api.VMStatusStateLive
	if vm.State == roster.Leaving {
		s.State = api.VMStatusStateLeaving
	}
	s.HeardAt = now
	s.PolicyVersion = a.PolicyVersion
	s.Roles = append(s.Roles, a.Roles...)
	s.StoreReachable = api.NewOptBool(a.StoreReachable)
	if !a.ListAsOf.IsZero() {
		s.KnowsAsOf = api.NewOptDateTime(a.ListAsOf)
	}
	return s
}

// vmNotes returns notes on the problems of one VM.
func vmNotes(name string, a statusResponse, answered bool) []string {
	if !answered {
		return []string{name + " did not answer: it may be cut off, stopped or gone, and what it does is unknown"}
	}
	var notes []string
	if !a.StoreReachable {
		notes = append(notes, name+" does not reach the platform's tables")
	}
	if a.PolicyVersion == 0 {
		notes = append(notes, name+" has no policy yet and refuses all requests")
	}
	if a.UnreadablePolicy > a.PolicyVersion {
		notes = append(notes, fmt.Sprintf("%s cannot read policy version %d and stays at %d", name, a.UnreadablePolicy, a.PolicyVersion))
	}
	return notes
}

// versionNotes returns a note that names the VMs that answered and whose policy version is older than
// the newest one in vms.
func versionNotes(vms []api.VMStatus) []string {
	var newest int64
	for i := range vms {
		newest = max(newest, vms[i].PolicyVersion)
	}
	var behind []string
	for i := range vms {
		if vms[i].State != api.VMStatusStateUnknown && vms[i].PolicyVersion < newest {
			behind = append(behind, vms[i].Name)
		}
	}
	if len(behind) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("policy version %d is not yet in force on %s", newest, strings.Join(behind, ", "))}
}
