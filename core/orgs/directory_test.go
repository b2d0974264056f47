package orgs

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"tanagerstack.org/core/roster"
)

func ExampleDirectory_ByKey() {
	directory, err := NewDirectory([]Organization{
		{Name: "kaje80", Weight: 55, Keys: []Digest{DigestOf("gkcuyj8pjbvk9m68k7b2")}},
		{Name: "nameless key", Weight: -1},
	})
	fmt.Println(err)
	organization, known := directory.ByKey("gkcuyj8pjbvk9m68k7b2")
	fmt.Println(organization.Name, known)
	// Output:
	// invalid organization: "nameless key" has weight -1, not a number of 0 or more
	// kaje80 true
}

// TestFaultyOrganizations guards against a fault of one organization that takes another one out of
// force, and against a key that works for an organization that is not its only owner.
func TestFaultyOrganizations(t *testing.T) {
	keys := func(list ...string) (digests []Digest) {
		for _, key := range list {
			digests = append(digests, DigestOf(key))
		}
		return digests
	}
	long := strings.Repeat("x", 1000)
	cases := map[string]struct {
		list []Organization
		// names are those in the directory, owners the organizations by working key.
		names  string
		owners map[string]string
		faults int
	}{
		"none":              {nil, "[]", nil, 0},
		"sorted":            {[]Organization{{Name: "b", Keys: keys("kb")}, {Name: "a", Keys: keys("ka")}}, "[a b]", map[string]string{"ka": "a", "kb": "b"}, 0},
		"without keys":      {[]Organization{{Name: "a"}}, "[a]", nil, 0},
		"long key":          {[]Organization{{Name: "a", Keys: keys(long)}}, "[a]", map[string]string{long: "a"}, 0},
		"empty key":         {[]Organization{{Name: "a", Keys: keys("", "k")}}, "[a]", map[string]string{"k": "a"}, 1},
		"no name":           {[]Organization{{Keys: keys("k")}, {Name: "a"}}, "[a]", nil, 1},
		"same name":         {[]Organization{{Name: "a", Keys: keys("k1")}, {Name: "a", Keys: keys("k1", "k2")}}, "[a]", map[string]string{"k1": "a"}, 1},
		"key twice":         {[]Organization{{Name: "a", Keys: keys("k", "k")}}, "[a]", map[string]string{"k": "a"}, 0},
		"key of two":        {[]Organization{{Name: "a", Keys: keys("k", "ka")}, {Name: "b", Keys: keys("k")}}, "[a b]", map[string]string{"ka": "a"}, 1},
		"key of three":      {[]Organization{{Name: "a", Keys: keys("k")}, {Name: "b", Keys: keys("k")}, {Name: "c", Keys: keys("k")}}, "[a b c]", nil, 2},
		"key of a, b, a":    {[]Organization{{Name: "a", Keys: keys("k", "k")}, {Name: "b", Keys: keys("k")}}, "[a b]", nil, 1},
		"key of faulty":     {[]Organization{{Name: "a", Keys: keys("k")}, {Name: "b", Weight: -1, Keys: keys("k")}}, "[a]", nil, 2},
		"weight NaN":        {[]Organization{{Name: "a", Weight: math.NaN()}, {Name: "b"}}, "[b]", nil, 1},
		"weight infinite":   {[]Organization{{Name: "a", Weight: math.Inf(1)}}, "[]", nil, 1},
		"negative cap":      {[]Organization{{Name: "a", Cap: roster.Resources{Accelerators: -1}}}, "[]", nil, 1},
		"sound after odd":   {[]Organization{{Name: "a", Weight: -1}, {Name: "a", Keys: keys("k")}}, "[a]", map[string]string{"k": "a"}, 1},
		"long name, faulty": {[]Organization{{Name: long, Weight: -1}}, "[]", nil, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, err := NewDirectory(c.list)
			var faults []error
			if joined, ok := err.(interface{ Unwrap() []error }); ok {
				faults = joined.Unwrap()
			}
			if len(faults) != c.faults || err != nil && (!errors.Is(err, ErrInvalid) || len(err.Error()) > 500) {
				t.Errorf("faults %v, want %d", faults, c.faults)
			}
			names := []string{}
			for _, o := range d.All() {
				names = append(names, o.Name)
				if found, ok := d.ByName(o.Name); !ok || found.Name != o.Name {
					t.Errorf("%q is not found by its name", o.Name)
				}
			}
			if fmt.Sprint(names) != c.names {
				t.Errorf("organizations %v, want %s", names, c.names)
			}
			for _, key := range []string{"", "k", "k1", "k2", "ka", "kb", long} {
				owner, known := d.ByKey(key)
				if want, works := c.owners[key]; known != works || known && owner.Name != want {
					t.Errorf("key %.5q works: %v, want %v for %q", key, known, works, want)
				}
			}
			if _, found := d.ByName("nobody"); found {
				t.Error("an unknown name is found")
			}
		})
	}
}

// TestZeroDirectory checks that the zero value has no organizations and that no key works.
func TestZeroDirectory(t *testing.T) {
	var d Directory
	if _, known := d.ByKey("k"); known || len(d.All()) != 0 {
		t.Error("the zero directory has an organization")
	}
}

// TestLookupAllocatesNothing guards against garbage for each request, with keys of any usual length.
func TestLookupAllocatesNothing(t *testing.T) {
	d, keys := manyKeys(t)
	for name, key := range map[string]string{"known": keys[7], "unknown": "nobody", "longest": strings.Repeat("x", maxStackKey)} {
		t.Run(name, func(t *testing.T) {
			if got := testing.AllocsPerRun(100, func() { d.ByKey(key) }); got != 0 {
				t.Errorf("%g allocations, want none", got)
			}
		})
	}
}

// manyKeys returns a directory of 100 organizations with 100 keys each, and the keys.
func manyKeys(tb testing.TB) (*Directory, []string) {
	tb.Helper()
	var keys []string
	list := make([]Organization, 100)
	for i := range list {
		list[i].Name = fmt.Sprintf("organization-%02d", i)
		for j := range 100 {
			key := fmt.Sprintf("key%02dof%02d-abcdefghi", j, i)
			keys = append(keys, key)
			list[i].Keys = append(list[i].Keys, DigestOf(key))
		}
	}
	d, err := NewDirectory(list)
	if err != nil {
		tb.Fatal(err)
	}
	return d, keys
}

// BenchmarkByKey measures the lookup of a known key among 10,000. The bound is 200 ns without an
// allocation.
func BenchmarkByKey(b *testing.B) {
	d, keys := manyKeys(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, known := d.ByKey(keys[i%len(keys)]); !known {
			b.Fatal("a key is unknown")
		}
	}
}
