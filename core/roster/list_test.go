package roster

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/api/member"
)

// TestPollTurnsLeaveNoGap checks that in each turn at least one of the live VMs polls the list,
// and that no VM waits longer than maxListPeriod plus one turn for its next poll.
func TestPollTurnsLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.IntRange(1, 40).Draw(t, "live")
		start := time.Unix(0, rapid.Int64Range(1e18, 2e18).Draw(t, "start"))
		covered := make(map[int64]bool)
		for rank := range live {
			now := start
			for polls := 0; now.Before(start.Add(3 * maxListPeriod)); polls++ {
				wait := untilNextTurn(now, rank, live)
				if wait <= 0 || wait > maxListPeriod+listPeriod {
					t.Fatalf("rank %d of %d VMs waits %s for its next turn", rank, live, wait)
				}
				now = now.Add(wait)
				covered[now.UnixNano()/int64(listPeriod)] = true
			}
		}
		first := start.Add(maxListPeriod+listPeriod).UnixNano()/int64(listPeriod) + 1
		for turn := first; turn < start.Add(3*maxListPeriod).UnixNano()/int64(listPeriod); turn++ {
			if !covered[turn] {
				t.Fatalf("none of %d VMs polls in turn %d", live, turn)
			}
		}
	})
}

// TestOddMembers guards against a VM that stops following the platform's list because another writer
// left an entry there that cannot be decoded, and against removing VMs by such a list.
func TestOddMembers(t *testing.T) {
	const sound = `{"name":"w-%","kind":"worker","state":"live","address":"10.0.0.9:80","domain":"d","region":"r","capacity":{"millicores":1,"memory-bytes":1,"accelerators":0}}`
	cases := map[string]struct {
		replace, with string
		want          int
	}{
		"sound":                {"", "", 3},
		"unknown kind":         {`"worker"`, `"robot"`, 2},
		"state of other type":  {`"live"`, `7`, 2},
		"unknown field":        {`"domain"`, `"planet":"p","domain"`, 2},
		"not an object":        {sound, `[[[]]]`, 2},
		"nested":               {`"d"`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000), 2},
		"port out of range":    {`:80`, `:70000`, 2},
		"port 0":               {`:80`, `:0`, 2},
		"processors 1e40":      {`"millicores":1`, `"millicores":1e40`, 2},
		"processors too large": {`"millicores":1`, `"millicores":9223372036854775807`, 2},
		"negative memory":      {`"memory-bytes":1`, `"memory-bytes":-1`, 2},
		"slots too large":      {`"domain"`, `"slots":9223372036854775807,"domain"`, 2},
		"no name":              {`"name":"w-%",`, ``, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			body := `{"as-of":"2026-12-05T10:00:00Z","members":[` + sound + `,` + strings.Replace(sound, c.replace, c.with, 1) + `,` + sound + `]}`
			var members member.MemberList
			if err := members.UnmarshalJSON([]byte(body)); err != nil {
				t.Fatal(err)
			}
			l := decodeList(&members)
			if len(l.workers) != c.want || l.unreadable != 3-c.want {
				t.Errorf("%d workers, %d entries left out; want %d and %d", len(l.workers), l.unreadable, c.want, 3-c.want)
			}
		})
	}
}

// TestOddListRemovesNobody checks that a VM stays listed while the list has an entry that cannot be
// decoded: it may be the VM's own.
func TestOddListRemovesNobody(t *testing.T) {
	tracker := &Tracker{list: list{listed: map[string]bool{"a": true, "b": true}}}
	odd := list{listed: map[string]bool{"a": true}, unreadable: 1}
	tracker.mergeListed(&odd)
	clean := list{listed: map[string]bool{"a": true}}
	tracker.mergeListed(&clean)
	if !odd.listed["b"] || clean.listed["b"] {
		t.Errorf("b is listed: %v by the odd list, %v by the clean one; want true and false", odd.listed["b"], clean.listed["b"])
	}
}

// A VM whose entry has no usable peer address looked like one that the list has dropped.
func TestListedVMWithoutPeerAddress(t *testing.T) {
	f := newFleet(t, 1, 0, 0)
	f.platform.add(member.Member{Name: "vm-x", Kind: member.MemberKindEntry, Domain: "d0", Address: "127.0.0.1:1"})
	f.awaitViews("the list with vm-x is read", f.trackers, func(v *View) bool { return v.ListedVMs["vm-x"] })
	if vm, found := f.trackers[0].View().VM("vm-x"); found {
		t.Errorf("%+v has no usable address, but is in the view's VMs", vm)
	}
}
