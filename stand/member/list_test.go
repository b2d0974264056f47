package member

import (
	"testing"
	"time"

	api "tanagerstack.org/core/api/member"
)

func TestListServesLaggedState(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	list := NewList(10 * time.Second)
	list.Put(api.Member{Name: "a", State: api.MemberStateLive}, at(0))
	list.Put(api.Member{Name: "b", State: api.MemberStateLive}, at(0))
	list.Put(api.Member{Name: "a", State: api.MemberStateLeaving}, at(5))
	list.Put(api.Member{Name: "a", State: api.MemberStateGone}, at(7))
	list.Remove("b", at(8))
	want := map[int]string{9: "", 10: "a:live b:live ", 15: "a:leaving b:live ", 17: "b:live ", 18: "", 99: ""}
	for _, seconds := range []int{9, 10, 15, 17, 18, 99} {
		got := ""
		members, _ := list.At(at(seconds))
		for _, m := range members {
			got += m.Name + ":" + string(m.State) + " "
		}
		if got != want[seconds] {
			t.Errorf("list after %ds = %q, want %q", seconds, got, want[seconds])
		}
	}
}
