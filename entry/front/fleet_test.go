package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerstack.org/core/keys"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
	"tanagerstack.org/entry/shared"
)

// fakeTarget is a target that counts the runs of each request and can be set to respond
// incorrectly.
type fakeTarget struct {
	t      *testing.T
	name   string
	server *httptest.Server

	mu   sync.Mutex
	runs map[string]int
	// firstTargets is the name of the target that each request reached first, by ID.
	firstTargets *sync.Map
	// busy is the number of requests running now, maxBusy its maximum.
	busy, maxBusy int
	runTime       time.Duration
	leaving       bool
	// respond, if set, writes the response in place of answer.
	respond func(w http.ResponseWriter, id string, body []byte)
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"slots":8,"busy":%d,"leaving":%t}`, f.busy, f.leaving)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	f.mu.Lock()
	if f.leaving {
		f.mu.Unlock()
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"title":"x","status":503,"detail":"leaving","reason":"leaving"}`)
		return
	}
	f.runs[id]++
	f.firstTargets.LoadOrStore(id, f.name)
	f.busy++
	f.maxBusy = max(f.maxBusy, f.busy)
	runTime, respond := f.runTime, f.respond
	f.mu.Unlock()
	time.Sleep(runTime)
	f.mu.Lock()
	f.busy--
	f.mu.Unlock()
	if respond != nil {
		respond(w, id, body)
		return
	}
	answer(w, id, body)
}

// set changes the settings of the target under its lock.
func (f *fakeTarget) set(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// answer writes a valid response.
func answer(w http.ResponseWriter, id string, body []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Request-Id", id)
	_, _ = w.Write(append([]byte("re:"), body...))
}

// vm is an entry VM of a fleet.
type vm struct {
	*Front
	server *httptest.Server
	view   atomic.Pointer[roster.View]
	cancel context.CancelFunc
}

// fleet is a set of entry VMs of failure domain d0 and their targets, in one process.
type fleet struct {
	t            *testing.T
	tables       *store.Memory
	vms          []*vm
	targets      []*fakeTarget
	keys         string
	clock        atomic.Int64
	firstTargets sync.Map
}

const testPolicy = `
defaults: {requests-per-second: 100000, burst: 10000, concurrent: 1000, body-bytes: 4096, window: 2s, job-tasks: 10, pending-jobs: 10}
classes:
  hold: {window: 2s, share: 1, objectives: {waiting-under: 1s, waiting: 0.9, truthful: 0.9, completion: 0.9}}
services:
  booking: {class: hold}
callers:
  hosts: {token-sha256: bf56f5f5bda801a9c89f4dc9571f087219dba0d831c17cf691586b74f2528a93, team: booths, domain: d0}
  flood: {token-sha256: 49f5a117896b810c228f1bc9784c6c8f7a528f636baed75760d75db6716b3a86, team: booths, domain: d0}
teams:
  booths: {share: 1}
work: [transcode]
retry: {ratio: 0.2, attempts: 3}
regions: {bytes-per-second: 1000000}
jobs: {task-lease: 10s, attempts: 3, age-batch: 60s, gang-reservation: 60s, quarantine-failures: 3, quarantine-probe: 10s, oversize-ratio: 2}
`

// newFleet starts count entry VMs in domain d0 with two targets of 8 slots each and four
// seats.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	return newFleetOf(t, count, 2, 4)
}

// newFleetOf starts count entry VMs with the given numbers of targets and seats.
func newFleetOf(t *testing.T, count, targets, seats int) *fleet {
	t.Helper()
	f := &fleet{t: t, tables: store.NewMemory(), keys: t.TempDir()}
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("e%d", i)
	}
	if err := keys.Issue(f.keys, names, time.Now()); err != nil {
		t.Fatal(err)
	}
	for i := range targets {
		f.targets = append(f.targets, newTarget(t, fmt.Sprintf("t%d", i), &f.firstTargets))
	}
	view := &roster.View{SeatsPerDomain: seats, ListAsOf: time.Now()}
	for _, target := range f.targets {
		view.Targets = append(view.Targets, target.rosterEntry())
	}
	for i, name := range names {
		v, node := f.start(name)
		view.VMs = append(view.VMs, roster.VM{
			Name: name, Domain: "d0", Region: "r0", PeerAddress: node, State: roster.Live, Seat: i,
		})
		f.vms = append(f.vms, v)
	}
	f.setView(view)
	f.awaitClaimSync()
	return f
}

// awaitClaimSync waits until all entry VMs have fetched the claims held by the others.
func (f *fleet) awaitClaimSync() {
	f.t.Helper()
	for _, v := range f.vms {
		for deadline := time.Now().Add(10 * time.Second); !v.claims.synced.Load(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				f.t.Fatal("an entry VM did not fetch the held claims within 10 s")
			}
		}
	}
}

// advanceClocks moves the clocks of all entry VMs forward by d.
func (f *fleet) advanceClocks(d time.Duration) { f.clock.Add(int64(d)) }

// setView sets the roster view of all entry VMs, each with its own seat.
func (f *fleet) setView(view *roster.View) {
	for i, v := range f.vms {
		own := *view
		own.Self, own.Seat, own.SeatExpiresAt = v.opts.Name, i, time.Now().Add(time.Hour)
		v.view.Store(&own)
	}
}

// start starts an entry VM and returns it with its peer address.
func (f *fleet) start(name string) (*vm, netip.AddrPort) {
	f.t.Helper()
	source, err := keys.NewSource(keys.Files{
		CA:   f.keys + "/" + keys.AuthorityCert,
		Cert: keys.CertFile(f.keys, name),
		Key:  keys.KeyFile(f.keys, name),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	mux := peer.NewMux()
	node, err := peer.NewNode(peer.Options{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: source, Mux: mux})
	if err != nil {
		f.t.Fatal(err)
	}
	document, err := policy.Decode(testPolicy)
	if err != nil {
		f.t.Fatal(err)
	}
	activePolicy := &policy.ActiveVersion{}
	activePolicy.SetIfNewer(&policy.Version{Number: 1, Document: document})
	v := &vm{}
	v.Front, err = New(Options{CommonOptions: shared.CommonOptions{
		Name: name, Domain: "d0", Region: "r0", Policy: activePolicy, Peers: node, Tables: f.tables,
		Roster: func() *roster.View { return v.view.Load() }, ClockSkew: 100 * time.Millisecond,
		Now: func() time.Time { return time.Now().Add(time.Duration(f.clock.Load())) },
	}})
	if err != nil {
		f.t.Fatal(err)
	}
	v.Register(mux)
	v.view.Store(&roster.View{Seat: -1})
	v.server = httptest.NewServer(v.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.Start(ctx)
	f.t.Cleanup(func() {
		cancel()
		v.server.Close()
		closeCtx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = node.Close(closeCtx)
	})
	return v, node.Addr()
}

func newTarget(t *testing.T, name string, firsts *sync.Map) *fakeTarget {
	f := &fakeTarget{t: t, name: name, runs: make(map[string]int), firstTargets: firsts}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeTarget) rosterEntry() roster.Target {
	address := netip.MustParseAddrPort(strings.TrimPrefix(f.server.URL, "http://"))
	return roster.Target{
		Name: f.name, Domain: "d0", Region: "r0", Service: "booking", Address: address, Slots: 8, State: roster.Live,
	}
}

// runsOf returns the number of times that the targets ran a request.
func (f *fleet) runsOf(id string) int {
	runs := 0
	for _, target := range f.targets {
		target.mu.Lock()
		runs += target.runs[id]
		target.mu.Unlock()
	}
	return runs
}

// reply is the HTTP response to a request.
type reply struct {
	status int
	id     string
	body   string
}

// send sends a request to an entry VM. Headers alternate between names and values.
func (f *fleet) send(v *vm, id, body string, headers ...string) reply {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPost, v.server.URL+"/v1/services/booking/requests", bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer dev-hosts")
	r.Header.Set("Content-Type", "application/octet-stream")
	r.Header.Set("X-Request-Id", id)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Error(err)
		return reply{}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		f.t.Error(err)
	}
	return reply{status: res.StatusCode, id: res.Header.Get("X-Request-Id"), body: string(text)}
}
