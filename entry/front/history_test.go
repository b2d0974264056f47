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

// forwarder passes bytes between entry VMs and a target. Its open connections
// can go silent for good while new ones work.
type forwarder struct {
	listener net.Listener
	to       string
	silenced atomic.Int64
	opened   atomic.Int64
}

func newForwarder(t *testing.T, to string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: listener, to: strings.TrimPrefix(to, "http://")}
	t.Cleanup(func() { _ = listener.Close() })
	go f.run()
	return f
}

func (f *forwarder) run() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		number := f.opened.Add(1)
		go (&half{f, number, near, far}).run()
		go (&half{f, number, far, near}).run()
	}
}

// silence makes all connections silent that are open now.
func (f *forwarder) silence() { f.silenced.Store(f.opened.Load()) }

// half is one direction of a connection.
type half struct {
	forwarder *forwarder
	number    int64
	from, to  net.Conn
}

func (h *half) run() {
	defer func() { _ = h.to.Close() }()
	buffer := make([]byte, 4096)
	for {
		count, err := h.from.Read(buffer)
		if h.number <= h.forwarder.silenced.Load() {
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
	middle := newForwarder(t, f.targets[0].server.URL)
	view := *f.vms[0].view.Load()
	view.Targets[0].Address = netip.MustParseAddrPort(middle.listener.Addr().String())
	f.show(&view)
	for i := range 5 {
		id := fmt.Sprint("silent-", i)
		if got := f.send(f.vms[0], id, "x"); got.status != http.StatusOK {
			t.Errorf("request %d: got %+v; its connection was silent for longer than the stated bound", i, got)
		}
		middle.silence()
		time.Sleep(provenForClaim + 50*time.Millisecond)
	}
	if opened := middle.opened.Load(); opened < 5 {
		t.Errorf("%d connections were opened although each went silent", opened)
	}
}

// told is one operation on a non-idempotent request: what a caller was told.
type told struct {
	status int
	body   string
}

// onceModel is a request that runs at most once: all who are told an answer are
// told the same one.
func onceModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			answer := output.(told)
			if answer.status != http.StatusOK {
				return true, state
			}
			return state == "" || state == answer.body, answer.body
		},
	}
}

func TestClaimHistory(t *testing.T) {
	f := newFleet(t, 3)
	f.later(5 * time.Second)
	var serial atomic.Int64
	for i, target := range f.targets {
		wrong := func(w http.ResponseWriter, id string, _ []byte) {
			run := serial.Add(1)
			if i == 0 && run%7 == 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("X-Request-Id", id)
			_, _ = io.WriteString(w, fmt.Sprint("run ", run))
		}
		target.set(func(t *fakeTarget) { t.wrong = wrong })
	}
	seed := time.Now().UnixNano()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewSource(seed))
	for round := range 40 {
		f.tables.SetFaults(drawFaults(random))
		id := fmt.Sprint("history-", round)
		history := f.history(id, random)
		if !porcupine.CheckOperations(onceModel(), history) {
			t.Errorf("%s: callers were told different answers: %+v", id, history)
		}
		if runs := f.runsOf(id); runs > 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
		for _, operation := range history {
			if operation.Output.(told).status == http.StatusOK && f.runsOf(id) == 0 {
				t.Errorf("%s was answered and did not run", id)
			}
		}
	}
}

func drawFaults(random *rand.Rand) store.Faults {
	return store.Faults{
		Down:        random.Intn(3) == 0,
		Delay:       time.Duration(random.Intn(3)) * 10 * time.Millisecond,
		LostAnswers: float64(random.Intn(3)) * 0.4,
		LostWrites:  0.5,
		Seed:        random.Int63(),
	}
}

// history sends one request nine times through all entry VMs, while the tables
// change their faults.
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
				ClientId: i, Call: called, Output: told{got.status, got.body}, Return: time.Now().UnixNano(),
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	f.tables.SetFaults(drawFaults(random))
	wait.Wait()
	return history
}
