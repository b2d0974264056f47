package orgs

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"slices"

	"tanagerstack.org/core/roster"
)

// ErrInvalid is wrapped by the errors about faulty entries of a list of organizations.
var ErrInvalid = errors.New("invalid organization")

// Digest is the SHA-256 of a key.
type Digest [sha256.Size]byte

// maxStackKey is the length in bytes up to which the digest of a key needs no allocation.
const maxStackKey = 128

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	if len(key) > maxStackKey {
		return sha256.Sum256([]byte(key))
	}
	var buffer [maxStackKey]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// Organization is what a configuration says about one organization.
type Organization struct {
	Name string
	// Keys are the digests of the keys that identify requests of the organization.
	Keys []Digest
	// Weight is the organization's share of a full cell relative to the weights of the others, and
	// the number of jobs per second that it may submit.
	Weight float64
	// Cap limits what the organization may have running on all workers together. An amount of zero
	// means no limit.
	Cap roster.Resources
	// Fault is why the entry could not be decoded, or nil. Such an entry is faulty; its name and keys
	// are those that could be decoded.
	Fault error
}

// validate returns an error if a field is out of range.
func (o *Organization) validate() error {
	switch {
	case o.Fault != nil:
		return fmt.Errorf("%w: %w", ErrInvalid, o.Fault)
	case o.Name == "":
		return fmt.Errorf("%w: no name", ErrInvalid)
	case !(o.Weight >= 0) || math.IsInf(o.Weight, 0):
		return fmt.Errorf("%w: %q has weight %g, not a number of 0 or more", ErrInvalid, shortName(o.Name), o.Weight)
	}
	if err := o.Cap.Validate(); err != nil {
		return fmt.Errorf("%w: cap of %q: %w", ErrInvalid, shortName(o.Name), err)
	}
	return nil
}

// Directory is the list of the organizations in one version of a configuration. It is immutable.
// The zero value has no organizations.
type Directory struct {
	// list is sorted by name.
	list  []Organization
	byKey map[Digest]int
}

// NewDirectory returns a directory of the sound organizations of a list, and an error that joins
// all faults, each of which wraps ErrInvalid. A faulty organization is left out. A key that belongs
// to entries with different names, faulty ones included, works for none of them: a caller could
// otherwise act as another organization.
func NewDirectory(list []Organization) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]int)}
	var faults []error
	names := make(map[string]bool, len(list))
	for _, o := range list {
		err := o.validate()
		if err == nil && names[o.Name] {
			err = fmt.Errorf("%w: another one is named %q as well", ErrInvalid, shortName(o.Name))
		}
		if err != nil {
			faults = append(faults, err)
			continue
		}
		names[o.Name] = true
		d.list = append(d.list, o)
	}
	slices.SortFunc(d.list, compareNames)
	faults = append(faults, d.indexKeys(list)...)
	return d, errors.Join(faults...)
}

func compareNames(a, b Organization) int { return cmp.Compare(a.Name, b.Name) }

// maxNameInError is the length at which names in errors are cut, so that log lines stay short.
const maxNameInError = 64

// shortName returns a name as it appears in errors.
func shortName(name string) string {
	if len(name) > maxNameInError {
		return name[:maxNameInError] + "..."
	}
	return name
}

// indexKeys fills byKey and returns the faults of the keys. The list has the faulty entries as well.
func (d *Directory) indexKeys(list []Organization) []error {
	var faults []error
	empty := DigestOf("")
	owners := make(map[Digest]string)
	shared := make(map[Digest]bool)
	for i := range list {
		for _, key := range list[i].Keys {
			owner, known := owners[key]
			switch {
			case key == empty:
				faults = append(faults, fmt.Errorf("%w: %q has an empty key", ErrInvalid, shortName(list[i].Name)))
			case known && owner != list[i].Name:
				faults = append(faults, fmt.Errorf("%w: %q and %q have a key in common", ErrInvalid, shortName(owner), shortName(list[i].Name)))
				shared[key] = true
			default:
				owners[key] = list[i].Name
			}
		}
	}
	for i := range d.list {
		for _, key := range d.list[i].Keys {
			if key != empty && !shared[key] {
				d.byKey[key] = i
			}
		}
	}
	return faults
}

// ByKey returns the organization that a key belongs to.
func (d *Directory) ByKey(key string) (*Organization, bool) {
	i, known := d.byKey[DigestOf(key)]
	if !known {
		return nil, false
	}
	return &d.list[i], true
}

// ByName returns the organization with a name.
func (d *Directory) ByName(name string) (*Organization, bool) {
	i, found := slices.BinarySearchFunc(d.list, name, func(o Organization, name string) int { return cmp.Compare(o.Name, name) })
	if !found {
		return nil, false
	}
	return &d.list[i], true
}

// All returns the organizations, sorted by name. The caller must not change them.
func (d *Directory) All() []Organization { return d.list }
