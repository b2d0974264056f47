package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

func TestSendRequest(t *testing.T) {
	f := newFleet(t, 3)
	for i, v := range f.vms {
		for _, idempotent := range []string{"true", "false"} {
			id := fmt.Sprintf("%d-%s", i, idempotent)
			got := f.send(v, id, "hello", "X-Idempotent", idempotent)
			if want := (reply{http.StatusOK, id, "re:hello"}); got != want {
				t.Errorf("request %s: got %+v, want %+v", id, got, want)
			}
		}
	}
}

func TestBadInput(t *testing.T) {
	f := newFleet(t, 1)
	past := time.Now().Add(-time.Second).Format(time.RFC3339Nano)
	future := time.Now().Add(time.Hour).Format(time.RFC3339Nano)
	for name, tc := range map[string]struct {
		headers []string
		body    string
		status  int
		want    []string
	}{
		"no token":      {[]string{"Authorization", ""}, "", 401, []string{"token"}},
		"wrong token":   {[]string{"Authorization", "Bearer x"}, "", 401, []string{"token"}},
		"no id":         {[]string{"X-Request-Id", ""}, "", 400, []string{"X-Request-Id", "1 to 120"}},
		"idempotent":    {[]string{"X-Idempotent", "maybe"}, "", 400, []string{"X-Idempotent", "true or false"}},
		"class":         {[]string{"X-Class", "none"}, "", 400, []string{"x-class", "one of hold"}},
		"past":          {[]string{"X-Not-After", past}, "", 400, []string{"x-not-after", "at most 2s"}},
		"far":           {[]string{"X-Not-After", future}, "", 400, []string{"x-not-after", "at most 2s"}},
		"no instant":    {[]string{"X-Not-After", "soon"}, "", 400, []string{"X-Not-After", "instant such as"}},
		"large":         {nil, strings.Repeat("x", 5000), 413, []string{"0 to 4096 bytes"}},
		"content type":  {[]string{"Content-Type", "text/plain"}, "", 415, []string{"application/octet-stream"}},
		"no media type": {[]string{"Content-Type", ""}, "", 400, []string{"body"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := f.send(f.vms[0], "bad-"+name, tc.body, tc.headers...)
			if got.status != tc.status {
				t.Errorf("status %d, want %d: %s", got.status, tc.status, got.body)
			}
			for _, want := range append(tc.want, `"outcome":"refused"`) {
				if !strings.Contains(got.body, want) {
					t.Errorf("problem document lacks %q: %s", want, got.body)
				}
			}
		})
	}
	if f.targets[0].maxBusy+f.targets[1].maxBusy > 0 {
		t.Error("a refused request reached a target")
	}
}

func TestDuplicateRequestRunsOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		faults store.Faults
		later  time.Duration
	}{
		"tables":       {},
		"tables down":  {store.Faults{Down: true}, 5 * time.Second},
		"lost answers": {store.Faults{LostAnswers: 0.5, LostWrites: 0.5, Seed: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.advanceClocks(tc.later)
			f.tables.SetFaults(tc.faults)
			for i := range 20 {
				id := fmt.Sprintf("double-%d", i)
				replies := f.sendEverywhere(id)
				completed := 0
				for _, got := range replies {
					if got == (reply{http.StatusOK, id, "re:x"}) {
						completed++
					}
				}
				runs := f.runsOf(id)
				if runs > 1 || runs == 0 && completed > 0 {
					t.Errorf("%s ran %d times and was reported completed %d times", id, runs, completed)
				}
				if runs != 1 || completed != len(replies) {
					t.Logf("%s: %+v", id, replies)
				}
				if tc.faults.LostAnswers == 0 && completed != len(replies) {
					t.Errorf("%s: %d of %d copies were completed: %+v", id, completed, len(replies), replies)
				}
			}
		})
	}
}

// sendEverywhere sends the same request twice to each entry VM, all at once.
func (f *fleet) sendEverywhere(id string) []reply {
	replies := make([]reply, 2*len(f.vms))
	var wait sync.WaitGroup
	for i := range replies {
		wait.Go(func() { replies[i] = f.send(f.vms[i%len(f.vms)], id, "x") })
	}
	wait.Wait()
	return replies
}

func TestReusedIdentifier(t *testing.T) {
	f := newFleet(t, 1)
	f.send(f.vms[0], "same", "one")
	if got := f.send(f.vms[0], "same", "two"); got.status != http.StatusConflict {
		t.Errorf("got %+v for a different request with a used identifier, want status 409", got)
	}
}

func TestRefusedRequestMayBeSentAgain(t *testing.T) {
	f := newFleet(t, 2)
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) { t.leaving = true })
	}
	if got := f.send(f.vms[0], "again", "x"); got.status != http.StatusServiceUnavailable {
		t.Fatalf("got %+v while all targets are leaving, want status 503", got)
	}
	for i, target := range f.targets {
		target.set(func(t *fakeTarget) { t.leaving = false })
		fresh := newTarget(t, fmt.Sprintf("fresh%d", i), &f.firstTargets)
		f.targets = append(f.targets, fresh)
	}
	view := *f.vms[0].view.Load()
	view.Targets = nil
	for _, target := range f.targets[2:] {
		view.Targets = append(view.Targets, target.rosterEntry())
	}
	f.setView(&view)
	if got := f.send(f.vms[1], "again", "x"); got.status != http.StatusOK {
		t.Errorf("got %+v for a repeat of a request that did not run, want status 200", got)
	}
}

func TestIncompleteResponseIsUnknown(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter, id string, body []byte){
		"short": func(w http.ResponseWriter, id string, body []byte) {
			w.Header().Set("Content-Length", "100")
			answer(w, id, body)
		},
		"swapped": func(w http.ResponseWriter, _ string, body []byte) { answer(w, "another", body) },
		"error":   func(w http.ResponseWriter, _ string, _ []byte) { w.WriteHeader(http.StatusInternalServerError) },
		"cut": func(w http.ResponseWriter, id string, body []byte) {
			answer(w, id, body)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"no length": func(w http.ResponseWriter, id string, body []byte) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Request-Id: %s\r\n\r\n%s", id, body)
			_ = conn.Close()
		},
		"late": func(w http.ResponseWriter, id string, body []byte) {
			time.Sleep(2500 * time.Millisecond)
			answer(w, id, body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			for _, target := range f.targets {
				target.set(func(t *fakeTarget) { t.respond = respond })
			}
			for _, idempotent := range []string{"true", "false"} {
				got := f.send(f.vms[0], "wrong-"+idempotent, "x", "X-Idempotent", idempotent)
				if got.status != http.StatusGatewayTimeout || !strings.Contains(got.body, `"outcome":"unknown"`) {
					t.Errorf("idempotent %s: got %+v for an incomplete or wrong response, want outcome unknown", idempotent, got)
				}
			}
			if runs := f.runsOf("wrong-false"); runs != 1 {
				t.Errorf("a non-idempotent request ran %d times", runs)
			}
		})
	}
}

func TestRetryOnAnotherTarget(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].set(func(t *fakeTarget) {
		t.respond = func(w http.ResponseWriter, _ string, _ []byte) { w.WriteHeader(http.StatusInternalServerError) }
	})
	for i := range 20 {
		if got := f.send(f.vms[0], fmt.Sprint(i), "x", "X-Idempotent", "true"); got.status != http.StatusOK {
			t.Errorf("request %d: got %+v with one working target, want status 200", i, got)
		}
	}
	if runs := f.targets[0].totalRuns(); runs > 4 {
		t.Errorf("the failing target got %d of 20 requests", runs)
	}
}

func TestRefusedRetryIsNotARefusal(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].set(func(t *fakeTarget) {
		t.respond = func(http.ResponseWriter, string, []byte) { panic(http.ErrAbortHandler) }
	})
	f.targets[1].set(func(t *fakeTarget) { t.leaving = true })
	for i := range 3 {
		id := fmt.Sprint("cut-", i)
		got := f.send(f.vms[0], id, "x", "X-Idempotent", "true")
		if refused := strings.Contains(got.body, `"outcome":"refused"`); refused && f.runsOf(id) > 0 {
			t.Errorf("a request that ran was reported as refused: %+v", got)
		}
	}
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].set(func(t *fakeTarget) { t.leaving = true })
	for i := range 10 {
		if got := f.send(f.vms[0], fmt.Sprint(i), "x"); got.status != http.StatusOK {
			t.Errorf("request %d: got %+v with one target that is not leaving, want status 200", i, got)
		}
	}
	if runs := f.targets[0].totalRuns(); runs > 0 {
		t.Errorf("the leaving target ran %d requests", runs)
	}
}

func (f *fakeTarget) totalRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, runs := range f.runs {
		total += runs
	}
	return total
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	f := newFleet(t, 3)
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) { t.runTime = 5 * time.Millisecond })
	}
	var wait sync.WaitGroup
	for i := range 300 {
		wait.Go(func() { f.send(f.vms[i%3], fmt.Sprintf("load-%d", i), "x", "X-Idempotent", fmt.Sprint(i%2 == 0)) })
	}
	wait.Wait()
	for _, target := range f.targets {
		if target.maxBusy > 8 {
			t.Errorf("target %s ran %d requests at once on 8 slots", target.name, target.maxBusy)
		}
	}
}

func TestSlotsOfNeighborsAreUsed(t *testing.T) {
	f := newFleet(t, 3)
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) { t.runTime = 200 * time.Millisecond })
	}
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			id := fmt.Sprint("borrow-", i)
			if got := f.send(f.vms[0], id, "x", "X-Idempotent", fmt.Sprint(i%2 == 0)); got.status != http.StatusOK {
				t.Errorf("%s: got %+v", id, got)
			}
		})
	}
	wait.Wait()
	own, _ := f.vms[0].router.pool("booking").table.Slots()
	if most := f.targets[0].maxBusy + f.targets[1].maxBusy; most <= own {
		t.Errorf("at most %d requests ran at once; want more than the %d slots of one VM, since its neighbors have free slots", most, own)
	}
}

// TestForwardedRequestThatMayHaveRun forwards a request to two entry VMs. At the first the
// response of the target is lost, the second refuses the request because it is draining. The
// outcome must be Unknown and not Refused, because the request may have run.
func TestForwardedRequestThatMayHaveRun(t *testing.T) {
	f := newFleet(t, 3)
	r := &Request{
		Caller: "hosts", Service: "booking", ID: "lost", Class: "hold", Idempotent: true,
		NotAfter: time.Now().Add(300 * time.Millisecond), version: f.vms[0].opts.Policy.Current(),
	}
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) {
			t.respond = func(http.ResponseWriter, string, []byte) { panic(http.ErrAbortHandler) }
		})
	}
	second := f.vms[0].claims.forwarder.sameDomainCandidates(r)[1].Name
	for _, v := range f.vms {
		if v.opts.Name == second {
			v.inFlight.startDraining()
		}
	}
	outcome := f.vms[0].router.forwardToNeighbor(t.Context(), r)
	if f.runsOf("lost") == 0 {
		t.Fatal("no other entry VM ran the request")
	}
	if _, unknown := outcome.(Unknown); !unknown && r.mayHaveRun == nil {
		t.Errorf("got %+v, and mayHaveRun is not set although the request may have run", outcome)
	}
}

func TestUnreachableOwner(t *testing.T) {
	f := newFleet(t, 3)
	closing, done := context.WithTimeout(t.Context(), time.Second)
	defer done()
	if err := f.vms[0].opts.Peers.Close(closing); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		if got := f.send(f.vms[1+i%2], fmt.Sprintf("gone-%d", i), "x"); got.status != http.StatusOK {
			t.Errorf("request %d: got %+v with only the owner unreachable, want status 200", i, got)
		}
	}
	f.advanceClocks(5 * time.Second)
	f.tables.SetFaults(store.Faults{Down: true})
	refused := 0
	for i := range 20 {
		got := f.send(f.vms[1+i%2], fmt.Sprintf("down-%d", i), "x")
		if got.status == http.StatusServiceUnavailable {
			refused++
		}
		if runs := f.runsOf(fmt.Sprintf("down-%d", i)); got.status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("request %d was refused but ran", i)
		}
	}
	if refused == 0 || refused == 20 {
		t.Errorf("%d of 20 requests were refused with the tables down and one owner unreachable, want some but not all", refused)
	}
}

func TestDrainFinishesWhatIsInFlight(t *testing.T) {
	f := newFleet(t, 1)
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) { t.runTime = 300 * time.Millisecond })
	}
	var inFlight sync.WaitGroup
	var got reply
	inFlight.Go(func() { got = f.send(f.vms[0], "slow", "x") })
	for f.runsOf("slow") == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := f.vms[0].Drain(t.Context()); err != nil {
		t.Error(err)
	}
	inFlight.Wait()
	if got.status != http.StatusOK {
		t.Errorf("the request in flight got %+v, want status 200", got)
	}
	if got := f.send(f.vms[0], "new", "x"); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "draining") {
		t.Errorf("a new request during the drain got %+v, want a refusal", got)
	}
}

func TestRegionBudget(t *testing.T) {
	f := newFleet(t, 1)
	relay := f.vms[0].claims.forwarder
	abroad, near := roster.VM{Region: "r1"}, roster.VM{Region: "r0"}
	half := &Request{Body: make([]byte, 1_000_000)}
	relay.chargeRegionBudget(near, 10_000_000)
	if !relay.fitsRegionBudget(half) {
		t.Error("traffic within the region was charged")
	}
	relay.chargeRegionBudget(abroad, 1_500_000)
	if relay.fitsRegionBudget(half) {
		t.Error("a burst budget of 2 MB allows 2.5 MB")
	}
	f.advanceClocks(time.Second)
	if !relay.fitsRegionBudget(half) {
		t.Error("the budget of 1 MB/s did not recover 1 MB in 1 s")
	}
}
