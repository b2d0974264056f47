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

// statusQuestion asks a VM about itself.
type statusQuestion struct{}

// Kind names the message.
func (statusQuestion) Kind() string { return "status" }

// statusAnswer is what a VM says about itself.
type statusAnswer struct {
	Domain         string    `cbor:"1,keyasint"`
	Region         string    `cbor:"2,keyasint"`
	PolicyVersion  int64     `cbor:"3,keyasint"`
	Roles          []string  `cbor:"4,keyasint"`
	StoreReachable bool      `cbor:"5,keyasint"`
	KnowsAsOf      time.Time `cbor:"6,keyasint"`
	// BadPolicy is the number of a newer version that the VM cannot read, or 0.
	BadPolicy int64 `cbor:"7,keyasint,omitempty"`
}

func (o *Operators) handleStatus(context.Context, peer.Identity, statusQuestion) (statusAnswer, error) {
	return o.ownStatus(), nil
}

func (o *Operators) ownStatus() statusAnswer {
	a := statusAnswer{
		Domain:         o.opts.Domain,
		Region:         o.opts.Region,
		PolicyVersion:  numberInForce(o.opts.Policy),
		Roles:          o.opts.Roles(),
		StoreReachable: o.opts.Tables.Reachable(),
		BadPolicy:      o.poller.bad.Load(),
	}
	if view := o.opts.Roster(); view != nil {
		a.KnowsAsOf = view.ListAsOf
	}
	return a
}

// GetStatus returns what all VMs say of themselves. A VM that does not answer
// has the state unknown.
func (h *handler) GetStatus(ctx context.Context) (*api.Status, error) {
	o := h.operators
	said := askAll[statusAnswer](ctx, &o.opts, statusQuestion{})
	said.by[o.opts.Name] = o.ownStatus()
	status := &api.Status{
		VM:             o.opts.Name,
		AsOf:           o.opts.Now(),
		StoreReachable: api.NewOptBool(o.opts.Tables.Reachable()),
		Vms:            []api.VMStatus{},
		Notes:          []string{},
	}
	for _, vm := range o.fleet() {
		answer, answered := said.by[vm.Name]
		status.Vms = append(status.Vms, vmStatus(vm, answer, answered, o.opts.Now()))
		status.Notes = append(status.Notes, vmNotes(vm.Name, answer, answered)...)
	}
	status.Notes = append(status.Notes, versionNotes(status.Vms)...)
	if v := o.opts.Policy.Current(); v != nil {
		status.Notes = append(status.Notes, v.Document.Lint(o.opts.Now())...)
	}
	return status, nil
}

// fleet returns all entry VMs that are known here, this one included, by name.
func (o *Operators) fleet() []roster.VM {
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

func vmStatus(vm roster.VM, a statusAnswer, answered bool, now time.Time) api.VMStatus {
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
	if !a.KnowsAsOf.IsZero() {
		s.KnowsAsOf = api.NewOptDateTime(a.KnowsAsOf)
	}
	return s
}

func vmNotes(name string, a statusAnswer, answered bool) []string {
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
	if a.BadPolicy > a.PolicyVersion {
		notes = append(notes, fmt.Sprintf("%s cannot read policy version %d and stays at %d", name, a.BadPolicy, a.PolicyVersion))
	}
	return notes
}

// versionNotes reports VMs that answered with a version behind the newest.
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
