package front

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"tanagerstack.org/core/store"
)

// tcpProxy copies bytes between entry VMs and a target. Its open connections can be made
// silent for good, so that bytes are dropped without closing them, while new ones work.
type tcpProxy struct {
	listener net.Listener
	to       string
	// opened is the number of connections opened so far. Connections are numbered from 1;
	// those up to lastSilenced are silent.
	lastSilenced atomic.Int64
	opened       atomic.Int64
}

func newTCPProxy(t *testing.T, to string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &tcpProxy{listener: listener, to: strings.TrimPrefix(to, "http://")}
	t.Cleanup(func() { _ = listener.Close() })
	go f.run()
	return f
}

func (f *tcpProxy) run() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", f.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		number := f.opened.Add(1)
		go (&proxyDirection{f, number, client, server}).run()
		go (&proxyDirection{f, number, server, client}).run()
	}
}

// silence makes all open connections silent.
func (f *tcpProxy) silence() { f.lastSilenced.Store(f.opened.Load()) }

// proxyDirection is one direction of a proxied connection.
type proxyDirection struct {
	proxy    *tcpProxy
	number   int64
	from, to net.Conn
}

func (h *proxyDirection) run() {
	defer func() { _ = h.to.Close() }()
	buffer := make([]byte, 4096)
	for {
		count, err := h.from.Read(buffer)
		if h.number <= h.proxy.lastSilenced.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, failed := h.to.Write(buffer[:count]); failed != nil || err != nil {
			return
		}
	}
}

func TestSilentConnection(t *testing.T) {
	f := newFleetOf(t, 1, 1, 1)
	middle := newTCPProxy(t, f.targets[0].server.URL)
	view := *f.vms[0].view.Load()
	view.Targets[0].Address = netip.MustParseAddrPort(middle.listener.Addr().String())
	f.setView(&view)
	for i := range 5 {
		id := fmt.Sprint("silent-", i)
		if got := f.send(f.vms[0], id, "x"); got.status != http.StatusOK {
			t.Errorf("request %d: got %+v after its connection had been silent for longer than verifiedForNonIdempotent", i, got)
		}
		middle.silence()
		time.Sleep(verifiedForNonIdempotent + 50*time.Millisecond)
	}
	if opened := middle.opened.Load(); opened < 5 {
		t.Errorf("%d connections were opened, want at least 5 since each went silent", opened)
	}
}

// callerResponse is the response that a caller received to a non-idempotent request.
type callerResponse struct {
	status int
	body   string
}

// atMostOnceModel is a model of a request that runs at most once: all callers that get a
// successful response get the same one.
func atMostOnceModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			answer := output.(callerResponse)
			if answer.status != http.StatusOK {
				return true, state
			}
			return state == "" || state == answer.body, answer.body
		},
	}
}

func TestClaimHistory(t *testing.T) {
	f := newFleet(t, 3)
	f.advanceClocks(5 * time.Second)
	var serial atomic.Int64
	for i, target := range f.targets {
		respond := func(w http.ResponseWriter, id string, _ []byte) {
			run := serial.Add(1)
			if i == 0 && run%7 == 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("X-Request-Id", id)
			_, _ = io.WriteString(w, fmt.Sprint("run ", run))
		}
		target.set(func(t *fakeTarget) { t.respond = respond })
	}
	seed := time.Now().UnixNano()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewSource(seed))
	for round := range 40 {
		f.tables.SetFaults(drawFaults(random))
		id := fmt.Sprint("history-", round)
		history := f.history(id, random)
		if !porcupine.CheckOperations(atMostOnceModel(), history) {
			t.Errorf("%s: callers got different responses: %+v", id, history)
		}
		if runs := f.runsOf(id); runs > 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
		for _, operation := range history {
			if operation.Output.(callerResponse).status == http.StatusOK && f.runsOf(id) == 0 {
				t.Errorf("%s was reported completed but did not run", id)
			}
		}
	}
}

// drawFaults returns random faults of the tables.
func drawFaults(random *rand.Rand) store.Faults {
	return store.Faults{
		Down:        random.Intn(3) == 0,
		Delay:       time.Duration(random.Intn(3)) * 10 * time.Millisecond,
		LostAnswers: float64(random.Intn(3)) * 0.4,
		LostWrites:  0.5,
		Seed:        random.Int63(),
	}
}

// history sends the same request nine times through all entry VMs and changes the faults of
// the tables in between. It returns the calls with their responses.
func (f *fleet) history(id string, random *rand.Rand) []porcupine.Operation {
	history := make([]porcupine.Operation, 9)
	var wait sync.WaitGroup
	for i := range history {
		pause := time.Duration(random.Intn(20)) * time.Millisecond
		wait.Go(func() {
			time.Sleep(pause)
			called := time.Now().UnixNano()
			got := f.send(f.vms[i%len(f.vms)], id, "x")
			history[i] = porcupine.Operation{
				ClientId: i, Call: called, Output: callerResponse{got.status, got.body}, Return: time.Now().UnixNano(),
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	f.tables.SetFaults(drawFaults(random))
	wait.Wait()
	return history
}
