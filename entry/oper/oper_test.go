package oper_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/keys"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
	"tanagerstack.org/core/trace"
	"tanagerstack.org/entry/oper"
	"tanagerstack.org/entry/shared"
)

const (
	operatorToken = "operator-secret-token"
	goodReason    = "The test wants another limit."
)

// bearer sends a token with each call.
type bearer string

func (b bearer) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: string(b)}, nil
}

// vm is one entry VM of a test fleet.
type vm struct {
	keeper *policy.ActiveVersion
	tables *store.Memory
	client *api.Client
	url    string
	trace  *trace.Log
	burn   *burn.Recorder
}

// startFleet starts VMs with a table service each, or one for all if common is
// given. Each VM is reached by messages from all others.
func startFleet(t *testing.T, names []string, common *store.Memory) map[string]*vm {
	t.Helper()
	dir := t.TempDir()
	if err := keys.Issue(dir, names, time.Now()); err != nil {
		t.Fatal(err)
	}
	view := new(roster.View)
	nodes := make(map[string]*peer.Node)
	muxes := make(map[string]*peer.Mux)
	for _, name := range names {
		muxes[name] = peer.NewMux()
		nodes[name] = startNode(t, dir, name, muxes[name])
		view.VMs = append(view.VMs, roster.VM{Name: name, Domain: "zurich-a", PeerAddress: nodes[name].Addr(), State: roster.Live})
	}
	hash := sha256.Sum256([]byte(operatorToken))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	fleet := make(map[string]*vm)
	for _, name := range names {
		v := &vm{keeper: new(policy.ActiveVersion), tables: common, trace: trace.NewLog(trace.Options{VM: name, Entries: 64}), burn: burn.NewRecorder(burn.Options{})}
		if common == nil {
			v.tables = store.NewMemory()
		}
		o, err := oper.New(oper.Options{
			Parts: shared.Parts{
				Name: name, Domain: "zurich-a", Policy: v.keeper, Peers: nodes[name], Tables: v.tables, Trace: v.trace,
				Roster: func() *roster.View { return view },
			},
			Burn:           v.burn,
			OperatorTokens: map[string]string{"alice": hex.EncodeToString(hash[:])},
		})
		if err != nil {
			t.Fatal(err)
		}
		o.Register(muxes[name])
		o.Start(ctx)
		server := httptest.NewServer(o.Handler())
		t.Cleanup(server.Close)
		v.url = server.URL
		if v.client, err = api.NewClient(server.URL, bearer(operatorToken)); err != nil {
			t.Fatal(err)
		}
		fleet[name] = v
	}
	return fleet
}

func startNode(t *testing.T, dir, name string, mux *peer.Mux) *peer.Node {
	t.Helper()
	source, err := keys.NewSource(keys.Files{CA: dir + "/" + keys.AuthorityCert, Cert: keys.CertFile(dir, name), Key: keys.KeyFile(dir, name)})
	if err != nil {
		t.Fatal(err)
	}
	node, err := peer.NewNode(peer.Options{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: source, Mux: mux})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = node.Close(ctx)
	})
	return node
}

// waitFor waits until a condition holds, or fails the test with what.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never seen: " + what)
}

func sample(burst int) string {
	return strings.Replace(policy.SampleText(), "burst: 400", fmt.Sprintf("burst: %d", burst), 1)
}

func apply(client *api.Client, expected int64, text string) (*api.PolicyVersion, error) {
	response, err := client.ApplyPolicy(context.Background(), &api.PolicyApply{ExpectedVersion: expected, Author: "alice", Reason: goodReason, Document: text})
	if err != nil {
		return nil, err
	}
	switch r := response.(type) {
	case *api.PolicyVersion:
		return r, nil
	case *api.PolicyConflict:
		return nil, &conflict{r}
	default:
		return nil, fmt.Errorf("unexpected response %T", response)
	}
}

type conflict struct{ *api.PolicyConflict }

func (c *conflict) Error() string { return "conflict: " + c.Difference }

// TestPolicyReachesVMsWithoutTables applies through one VM while the tables of
// the others are down.
func TestPolicyReachesVMsWithoutTables(t *testing.T) {
	fleet := startFleet(t, []string{"a", "b", "c"}, nil)
	fleet["b"].tables.SetFaults(store.Faults{Down: true})
	fleet["c"].tables.SetFaults(store.Faults{Down: true})
	for number := int64(1); number <= 20; number++ {
		if _, err := apply(fleet["a"].client, number-1, sample(int(number))); err != nil {
			t.Fatal(err)
		}
	}
	for name, vm := range fleet {
		waitFor(t, "version 20 on "+name, func() bool { v := vm.keeper.Current(); return v != nil && v.Number == 20 })
	}
	status, err := fleet["a"].client.GetStatus(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if notes := strings.Join(status.Notes, "\n"); !strings.Contains(notes, "b does not reach the platform's tables") {
		t.Errorf("status does not tell of the outage: %s", notes)
	}
}

func TestBadCallsChangeNothing(t *testing.T) {
	fleet := startFleet(t, []string{"a"}, store.NewMemory())
	client := fleet["a"].client
	if _, err := apply(client, 0, sample(1)); err != nil {
		t.Fatal(err)
	}
	stranger, err := api.NewClient(fleet["a"].url, bearer("wrong"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		client   *api.Client
		expected int64
		text     string
		status   int
		want     string
	}{
		"unknown field":     {client: client, expected: 1, text: strings.Replace(sample(2), "burst", "brust", 1), status: http.StatusBadRequest, want: "defaults.brust"},
		"no reason":         {client: client, expected: 1, text: strings.Replace(sample(2), "reason: The", "reason: '' #", 1), status: http.StatusBadRequest, want: "exceptions[0].reason"},
		"wrong token":       {client: stranger, expected: 1, text: sample(2), status: http.StatusUnauthorized, want: "Authorization: Bearer"},
		"old version":       {client: client, expected: 0, text: sample(2), want: "+"},
		"version of future": {client: client, expected: 7, text: sample(2), want: "+"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := apply(tt.client, tt.expected, tt.text)
			var problem *api.ProblemStatusCode
			if errors.As(err, &problem) != (tt.status != 0) || (problem != nil && problem.StatusCode != tt.status) {
				t.Fatalf("got error %v, want status %d", err, tt.status)
			}
			if err == nil || !strings.Contains(fmt.Sprint(err, problem), tt.want) {
				t.Errorf("error %v does not name %s", err, tt.want)
			}
		})
	}
	response, err := http.Get(fleet["a"].url + "/v1/status")
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	if response.StatusCode != http.StatusUnauthorized {
		t.Errorf("a call without a token got status %d", response.StatusCode)
	}
	history, err := client.GetPolicyHistory(t.Context(), api.GetPolicyHistoryParams{})
	if err != nil || len(history.Versions) != 1 {
		t.Errorf("history is %v, %v; want one version", history, err)
	}
}

// TestRacingOperatorsAndLostAnswers lets operators race on two VMs while
// answers and writes of the tables are lost.
func TestRacingOperatorsAndLostAnswers(t *testing.T) {
	tables := store.NewMemory()
	fleet := startFleet(t, []string{"a", "b"}, tables)
	tables.SetFaults(store.Faults{LostAnswers: 0.5, LostWrites: 0.5, Seed: 7})
	race := &race{fleet: fleet, accepted: make(map[int64]string), refused: make(map[string]bool)}
	var group sync.WaitGroup
	for operator := range 4 {
		group.Add(1)
		go (&racer{race: race, group: &group, operator: operator}).run()
	}
	group.Wait()
	tables.SetFaults(store.Faults{})
	history, err := fleet["a"].client.GetPolicyHistory(t.Context(), api.GetPolicyHistoryParams{Limit: api.NewOptInt(1000)})
	if err != nil {
		t.Fatal(err)
	}
	written := make(map[int64]string)
	for _, v := range history.Versions {
		written[v.Version] = v.Document
		if race.refused[v.Document] {
			t.Errorf("version %d is in the history, but its operator was told that it was not accepted", v.Version)
		}
	}
	for number, text := range race.accepted {
		if written[number] != text {
			t.Errorf("accepted version %d is lost", number)
		}
	}
	if len(race.accepted) < 10 {
		t.Errorf("only %d versions were accepted", len(race.accepted))
	}
}

// race collects what operators were told.
type race struct {
	fleet    map[string]*vm
	mu       sync.Mutex
	accepted map[int64]string
	refused  map[string]bool
}

type racer struct {
	race     *race
	group    *sync.WaitGroup
	operator int
}

func (r *racer) run() {
	defer r.group.Done()
	client := r.race.fleet[[]string{"a", "b"}[r.operator%2]].client
	var expected int64
	for try := range 10 {
		text := sample(1 + 100*r.operator + try)
		v, err := apply(client, expected, text)
		var lost *conflict
		r.race.mu.Lock()
		switch {
		case err == nil:
			r.race.accepted[v.Version] = text
			expected = v.Version
		case errors.As(err, &lost):
			r.race.refused[text] = true
			expected = lost.Current.Version
		}
		r.race.mu.Unlock()
	}
}

func TestExplainAndBurnAskAllVMs(t *testing.T) {
	fleet := startFleet(t, []string{"a", "b"}, store.NewMemory())
	if _, err := apply(fleet["a"].client, 0, policy.SampleText()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "version 1 on b", func() bool { return fleet["b"].keeper.Current() != nil })
	now := time.Now()
	for _, vm := range fleet {
		vm.trace.Add("request-1", trace.Decision{At: now, Step: "admit", Verdict: "accepted"})
		vm.burn.Observe(burn.Sample{Caller: "hosts", Class: "hold", ArrivedAt: now, StartedAt: now, EndedAt: now, NotAfter: now.Add(time.Second)})
		vm.burn.RecordLimitHit("network", "burst")
	}
	explanation, err := fleet["a"].client.Explain(t.Context(), api.ExplainParams{ID: "request-1"})
	if err != nil || len(explanation.Decisions) != 2 {
		t.Errorf("explanation %v, %v; want two decisions", explanation, err)
	}
	report, err := fleet["b"].client.GetBurn(t.Context())
	if err != nil || len(report.Vms) != 2 || len(report.Rows) != 3 || report.Rows[0].Total != 2 || report.Limits[0].Hits != 2 {
		t.Errorf("burn report %+v, %v; want three rows of two requests, merged of two VMs", report, err)
	}
	strict := strings.Replace(policy.SampleText(), "window: 10s\n  job", "window: 5s\n  job", 1)
	strict = strings.Replace(strict, "master:\n    window: 10s", "master:\n    window: 5s", 1)
	strict = strings.Replace(strict, "burst: 400", "burst: 1", 1)
	strict = strings.Replace(strict, "requests-per-second: 2000", "requests-per-second: 0.1", 1)
	check, err := fleet["b"].client.CheckPolicy(t.Context(), &api.PolicyApply{Document: strict})
	if err != nil || len(check.Refusals) != 1 || check.Refusals[0].Requests != 2 || check.Refusals[0].Refused != 1 || check.Refusals[0].RefusedBefore.Value != 0 {
		t.Errorf("dry run %+v, %v; want one of two requests refused, none before", check, err)
	}
}
