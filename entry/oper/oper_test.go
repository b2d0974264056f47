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
	validReason   = "The test wants another limit."
)

// bearer is an api.SecuritySource that sends its value as the token of each call.
type bearer string

func (b bearer) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: string(b)}, nil
}

// vm is one entry VM of a test fleet.
type vm struct {
	active *policy.ActiveVersion
	tables *store.Memory
	client *api.Client
	url    string
	trace  *trace.Log
	burn   *burn.Recorder
}

// startFleet starts VMs that exchange messages with each other. They use sharedTables, or a table
// service of their own each if it is nil.
func startFleet(t *testing.T, names []string, sharedTables *store.Memory) map[string]*vm {
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
		v := &vm{active: new(policy.ActiveVersion), tables: sharedTables, trace: trace.NewLog(trace.Options{VM: name, Entries: 64}), burn: burn.NewRecorder(burn.Options{})}
		if sharedTables == nil {
			v.tables = store.NewMemory()
		}
		o, err := oper.New(oper.Options{
			CommonOptions: shared.CommonOptions{
				Name: name, Domain: "zurich-a", Policy: v.active, Peers: nodes[name], Tables: v.tables, Trace: v.trace,
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

// waitFor waits up to 30 s until condition holds, else fails the test. The failure names what.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for " + what)
}

// samplePolicy returns the text of the sample policy with the default burst limit set to burst.
func samplePolicy(burst int) string {
	return strings.Replace(policy.SampleText(), "burst: 400", fmt.Sprintf("burst: %d", burst), 1)
}

func apply(client *api.Client, expected int64, text string) (*api.PolicyVersion, error) {
	response, err := client.ApplyPolicy(context.Background(), &api.PolicyApply{ExpectedVersion: expected, Author: "alice", Reason: validReason, Document: text})
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

// conflict wraps the response to a change that conflicts with a version accepted before.
type conflict struct{ *api.PolicyConflict }

func (c *conflict) Error() string { return "conflict: " + c.Difference }

// TestPolicyReachesVMsWithoutTables applies policy versions through one VM while the tables of the
// others are down. The others must get them through peer messages.
func TestPolicyReachesVMsWithoutTables(t *testing.T) {
	fleet := startFleet(t, []string{"a", "b", "c"}, nil)
	fleet["b"].tables.SetFaults(store.Faults{Down: true})
	fleet["c"].tables.SetFaults(store.Faults{Down: true})
	for number := int64(1); number <= 20; number++ {
		if _, err := apply(fleet["a"].client, number-1, samplePolicy(int(number))); err != nil {
			t.Fatal(err)
		}
	}
	for name, vm := range fleet {
		waitFor(t, "version 20 on "+name, func() bool { v := vm.active.Current(); return v != nil && v.Number == 20 })
	}
	status, err := fleet["a"].client.GetStatus(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if notes := strings.Join(status.Notes, "\n"); !strings.Contains(notes, "b does not reach the platform's tables") {
		t.Errorf("status notes do not report the outage: %s", notes)
	}
}

// TestBadCallsChangeNothing checks that invalid documents, wrong or missing tokens and wrong expected
// versions are refused, and that no version is written.
func TestBadCallsChangeNothing(t *testing.T) {
	fleet := startFleet(t, []string{"a"}, store.NewMemory())
	client := fleet["a"].client
	if _, err := apply(client, 0, samplePolicy(1)); err != nil {
		t.Fatal(err)
	}
	badTokenClient, err := api.NewClient(fleet["a"].url, bearer("wrong"))
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
		"unknown field":  {client: client, expected: 1, text: strings.Replace(samplePolicy(2), "burst", "brust", 1), status: http.StatusBadRequest, want: "defaults.brust"},
		"no reason":      {client: client, expected: 1, text: strings.Replace(samplePolicy(2), "reason: The", "reason: '' #", 1), status: http.StatusBadRequest, want: "exceptions[0].reason"},
		"wrong token":    {client: badTokenClient, expected: 1, text: samplePolicy(2), status: http.StatusUnauthorized, want: "Authorization: Bearer"},
		"old version":    {client: client, expected: 0, text: samplePolicy(2), want: "+"},
		"future version": {client: client, expected: 7, text: samplePolicy(2), want: "+"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := apply(tt.client, tt.expected, tt.text)
			var problem *api.ProblemStatusCode
			if errors.As(err, &problem) != (tt.status != 0) || (problem != nil && problem.StatusCode != tt.status) {
				t.Fatalf("got error %v, want status %d", err, tt.status)
			}
			if err == nil || !strings.Contains(fmt.Sprint(err, problem), tt.want) {
				t.Errorf("error %v does not contain %s", err, tt.want)
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
		t.Errorf("a call without a token got status %d, want 401", response.StatusCode)
	}
	history, err := client.GetPolicyHistory(t.Context(), api.GetPolicyHistoryParams{})
	if err != nil || len(history.Versions) != 1 {
		t.Errorf("got history %v, error %v; want one version", history, err)
	}
}

// TestRacingOperatorsAndLostAnswers runs concurrent changes through two VMs while the table service
// loses writes and responses. No accepted version may be lost, and no refused one may be written.
func TestRacingOperatorsAndLostAnswers(t *testing.T) {
	tables := store.NewMemory()
	fleet := startFleet(t, []string{"a", "b"}, tables)
	tables.SetFaults(store.Faults{LostAnswers: 0.5, LostWrites: 0.5, Seed: 7})
	results := &raceResults{fleet: fleet, accepted: make(map[int64]string), refused: make(map[string]bool)}
	var group sync.WaitGroup
	for operator := range 4 {
		group.Add(1)
		go (&racingOperator{results: results, group: &group, operator: operator}).run()
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
		if results.refused[v.Document] {
			t.Errorf("version %d is in the history, but its change was refused with a conflict", v.Version)
		}
	}
	for number, text := range results.accepted {
		if written[number] != text {
			t.Errorf("accepted version %d is not in the history", number)
		}
	}
	if len(results.accepted) < 10 {
		t.Errorf("only %d versions were accepted, want at least 10", len(results.accepted))
	}
}

// raceResults collects the documents that were accepted, by version, and those that were refused.
type raceResults struct {
	fleet    map[string]*vm
	mu       sync.Mutex
	accepted map[int64]string
	refused  map[string]bool
}

// racingOperator applies ten changes in turn, each on the newest version that it knows.
type racingOperator struct {
	results  *raceResults
	group    *sync.WaitGroup
	operator int
}

func (r *racingOperator) run() {
	defer r.group.Done()
	client := r.results.fleet[[]string{"a", "b"}[r.operator%2]].client
	var expected int64
	for try := range 10 {
		text := samplePolicy(1 + 100*r.operator + try)
		v, err := apply(client, expected, text)
		var versionConflict *conflict
		r.results.mu.Lock()
		switch {
		case err == nil:
			r.results.accepted[v.Version] = text
			expected = v.Version
		case errors.As(err, &versionConflict):
			r.results.refused[text] = true
			expected = versionConflict.Current.Version
		}
		r.results.mu.Unlock()
	}
}

// TestExplainAndBurnQueryAllVMs checks that explain, burn and the policy check combine the data of
// all VMs.
func TestExplainAndBurnQueryAllVMs(t *testing.T) {
	fleet := startFleet(t, []string{"a", "b"}, store.NewMemory())
	if _, err := apply(fleet["a"].client, 0, policy.SampleText()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "version 1 on b", func() bool { return fleet["b"].active.Current() != nil })
	now := time.Now()
	for _, vm := range fleet {
		vm.trace.Add("request-1", trace.Decision{At: now, Step: "admit", Verdict: "accepted"})
		vm.burn.Observe(burn.Sample{Caller: "hosts", Class: "hold", ArrivedAt: now, StartedAt: now, EndedAt: now, NotAfter: now.Add(time.Second)})
		vm.burn.RecordLimitHit("network", "burst")
	}
	explanation, err := fleet["a"].client.Explain(t.Context(), api.ExplainParams{ID: "request-1"})
	if err != nil || len(explanation.Decisions) != 2 {
		t.Errorf("got explanation %v, error %v; want two decisions", explanation, err)
	}
	report, err := fleet["b"].client.GetBurn(t.Context())
	if err != nil || len(report.Vms) != 2 || len(report.Rows) != 3 || report.Rows[0].Total != 2 || report.Limits[0].Hits != 2 {
		t.Errorf("got burn report %+v, error %v; want three rows of two requests, merged from two VMs", report, err)
	}
	strict := strings.Replace(policy.SampleText(), "window: 10s\n  job", "window: 5s\n  job", 1)
	strict = strings.Replace(strict, "master:\n    window: 10s", "master:\n    window: 5s", 1)
	strict = strings.Replace(strict, "burst: 400", "burst: 1", 1)
	strict = strings.Replace(strict, "requests-per-second: 2000", "requests-per-second: 0.1", 1)
	check, err := fleet["b"].client.CheckPolicy(t.Context(), &api.PolicyApply{Document: strict})
	if err != nil || len(check.Refusals) != 1 || check.Refusals[0].Requests != 2 || check.Refusals[0].Refused != 1 || check.Refusals[0].RefusedBefore.Value != 0 {
		t.Errorf("got policy check %+v, error %v; want one of two requests refused, none before", check, err)
	}
}
