package roster

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/store"
)

const (
	modelStep   = 250 * time.Millisecond
	modelWindow = 4 * time.Second
	modelSkew   = 200 * time.Millisecond
)

var modelVMs = []string{"a", "b", "c", "d"}

// process is one instance of a VM in the model. Its clock differs from the model's by
// clockOffset.
type process struct {
	vm          string
	clockOffset time.Duration
	seats       *seatManager
	view        View
	paused      bool
	// unreachable is set while the process cannot reach the platform.
	unreachable bool
	// pausedAt and refreshedAt are times of the model's clock.
	pausedAt    time.Time
	refreshedAt time.Time
	// list is the last list that the process read.
	list listVersion
}

// listVersion is the platform's list as of a time.
type listVersion struct {
	at     time.Time
	listed map[string]bool
}

// seatUse is the last request that an instance started with a seat.
type seatUse struct {
	instance string
	endsAt   time.Time
}

// seatModel simulates the VMs of one failure domain with a fake clock, a table service that
// loses answers and a membership list that lags.
type seatModel struct {
	t         *rapid.T
	now       time.Time
	seats     int
	tables    *store.Memory
	processes map[string]*process
	// history has all versions of the platform's list, the latest last. enlistAt has when VMs
	// that are not on it yet will be added.
	history  []listVersion
	enlistAt map[string]time.Time
	started  int
	uses     map[int][]seatUse
	// seatChanges counts how often a seat passed from one instance to another.
	seatChanges int
}

func newSeatModel(t *rapid.T) *seatModel {
	return &seatModel{
		t:         t,
		now:       time.Unix(1_700_000_000, 0),
		seats:     rapid.IntRange(1, 3).Draw(t, "seats"),
		tables:    store.NewMemory(),
		processes: make(map[string]*process),
		history:   []listVersion{{at: time.Unix(1_700_000_000, 0)}},
		enlistAt:  make(map[string]time.Time),
		uses:      make(map[int][]seatUse),
	}
}

func (m *seatModel) clock(p *process) time.Time { return m.now.Add(p.clockOffset) }

func (m *seatModel) drawProcess(label string) *process {
	var vms []string
	for _, vm := range modelVMs {
		if m.processes[vm] != nil {
			vms = append(vms, vm)
		}
	}
	if len(vms) == 0 {
		m.t.Skip("no process runs")
	}
	return m.processes[rapid.SampledFrom(vms).Draw(m.t, label)]
}

func (m *seatModel) drawVM(label string) string { return rapid.SampledFrom(modelVMs).Draw(m.t, label) }

// start kills the VM's present process, if there is one, and starts another. A new VM appears
// on the list after a random time, and one that was on it before at once.
func (m *seatModel) start(vm string) {
	m.started++
	if m.everListed(vm) {
		m.enlist(vm)
	} else {
		m.enlistAt[vm] = m.now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(m.t, "lag")))
	}
	skew := int64(modelSkew / 2)
	p := &process{
		vm:          vm,
		clockOffset: time.Duration(rapid.Int64Range(-skew, skew).Draw(m.t, "offset")),
		seats:       newSeatManager(Options{Tables: m.tables, Domain: "d", Name: vm}, fmt.Sprint(vm, m.started)),
	}
	p.view.Seat = -1
	m.processes[vm] = p
}

func (m *seatModel) everListed(vm string) bool {
	for _, s := range m.history {
		if s.listed[vm] {
			return true
		}
	}
	return false
}

// enlist adds the VM to the list, and delist removes it.
func (m *seatModel) enlist(vm string) {
	m.changeList(func(listed map[string]bool) { listed[vm] = true })
}
func (m *seatModel) delist(vm string) {
	m.changeList(func(listed map[string]bool) { delete(listed, vm) })
}

func (m *seatModel) changeList(change func(map[string]bool)) {
	listed := maps.Clone(m.history[len(m.history)-1].listed)
	if listed == nil {
		listed = make(map[string]bool)
	}
	change(listed)
	m.history = append(m.history, listVersion{at: m.now, listed: listed})
}

// refresh makes a process read an outdated list and refresh its seat.
func (m *seatModel) refresh(p *process) {
	if p.paused || p.unreachable {
		return
	}
	age := rapid.IntRange(0, min(20, len(m.history)-1)).Draw(m.t, "age of list")
	if list := m.history[len(m.history)-1-age]; list.at.After(p.list.at) {
		p.list = list
	}
	p.refreshedAt = m.now
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_ = p.seats.refresh(ctx, seatDecisionInput{
		now:      m.clock(p),
		seats:    m.seats,
		window:   modelWindow,
		skew:     modelSkew,
		listed:   p.list.listed,
		listedAt: p.list.at,
	})
	m.publishView(p)
}

// publishView rebuilds the process's view.
func (m *seatModel) publishView(p *process) {
	p.view = View{Seat: -1}
	if own, expiresAt := p.seats.ownSeat(); own != nil {
		p.view = View{Seat: own.Seat, SeatUsableAt: own.UsableAt, SeatExpiresAt: expiresAt}
	}
}

// startRequest starts a request with the process's seat, if it may use one. It fails the test if a
// request of another instance may still run with that seat.
func (m *seatModel) startRequest(p *process) {
	number, usable := p.view.OwnSeat(m.clock(p))
	if !usable || p.paused {
		return
	}
	uses := m.uses[number]
	for _, other := range uses {
		if other.instance != p.seats.instance && m.now.Before(other.endsAt) {
			m.t.Fatalf("instance %s uses seat %d at %s while requests of instance %s run until %s", p.seats.instance, number, m.now, other.instance, other.endsAt)
		}
	}
	if len(uses) > 0 && uses[0].instance != p.seats.instance {
		m.seatChanges++
	}
	m.uses[number] = []seatUse{{instance: p.seats.instance, endsAt: m.now.Add(modelWindow)}}
}

// advance moves the clock by a number of steps. In each, processes that are not paused tick and
// start requests, and those whose refresh is due refresh.
func (m *seatModel) advance(steps int) {
	for range steps {
		m.now = m.now.Add(modelStep)
		m.changeList(func(listed map[string]bool) {
			for vm, at := range m.enlistAt {
				if !m.now.Before(at) {
					listed[vm] = true
					delete(m.enlistAt, vm)
				}
			}
		})
		for _, vm := range modelVMs {
			p := m.processes[vm]
			if p == nil || p.paused {
				continue
			}
			m.startRequest(p)
			p.seats.tick(m.clock(p))
			if m.now.Sub(p.refreshedAt) > seatPeriod {
				m.refresh(p)
			}
			m.publishView(p)
			m.startRequest(p)
		}
	}
}

func (m *seatModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"start":   func(*rapid.T) { m.start(m.drawVM("vm")) },
		"kill":    func(*rapid.T) { delete(m.processes, m.drawProcess("killed").vm) },
		"refresh": func(*rapid.T) { m.refresh(m.drawProcess("refreshed")) },
		"pass":    func(t *rapid.T) { m.advance(rapid.IntRange(1, 60).Draw(t, "steps")) },
		"pause": func(*rapid.T) {
			p := m.drawProcess("paused")
			p.paused, p.pausedAt = true, m.now
		},
		"cut":    func(*rapid.T) { p := m.drawProcess("cut"); p.unreachable = !p.unreachable },
		"freeze": m.pauseUntilReplaced,
		"resume": func(*rapid.T) {
			p := m.drawProcess("resumed")
			p.paused = false
			m.startRequest(p)
		},
		"stop": func(*rapid.T) {
			p := m.drawProcess("stopped")
			if !p.paused {
				m.shutDown(p)
			}
		},
		"drop": m.dropFromList,
		"faults": func(t *rapid.T) {
			share := rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lost")
			m.tables.SetFaults(store.Faults{LostAnswers: share, LostWrites: 0.5, Seed: int64(m.started), Down: rapid.Bool().Draw(t, "down")})
		},
	}
}

// shutDown shuts a process down gracefully. Its last request has ended, or is lost and may run
// until its window ends.
func (m *seatModel) shutDown(p *process) {
	delete(m.processes, p.vm)
	ended := m.clock(p)
	lost := rapid.Bool().Draw(m.t, "lost")
	for number, uses := range m.uses {
		switch {
		case len(uses) == 0 || uses[0].instance != p.seats.instance:
		case lost:
			ended = latest(ended, uses[0].endsAt.Add(p.clockOffset))
		default:
			delete(m.uses, number)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_ = p.seats.release(ctx, m.clock(p), ended)
}

// dropFromList removes a VM from the list if it has no process or one that has been paused for
// longer than PauseLimit.
func (m *seatModel) dropFromList(*rapid.T) {
	vm := m.drawVM("dropped")
	p := m.processes[vm]
	if p == nil || p.paused && m.now.Sub(p.pausedAt) > PauseLimit {
		delete(m.enlistAt, vm)
		m.delist(vm)
	}
}

// pauseUntilReplaced pauses a VM for so long that another may get its seat, and resumes it while
// it cannot reach the platform.
func (m *seatModel) pauseUntilReplaced(t *rapid.T) {
	p := m.drawProcess("frozen")
	p.paused, p.pausedAt, p.unreachable = true, m.now, true
	m.advance(10)
	delete(m.enlistAt, p.vm)
	m.delist(p.vm)
	if vm := m.drawVM("next"); vm != p.vm {
		m.start(vm)
	}
	m.advance(rapid.IntRange(40, 120).Draw(t, "steps"))
	p.paused = false
	m.startRequest(p)
	m.advance(1)
}

// TestSeatsNeverShared checks that no instance uses a seat while requests of another instance
// may still run with it, under restarts, pauses, lost answers and a lagging list.
func TestSeatsNeverShared(t *testing.T) {
	seatChanges := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newSeatModel(t)
		t.Repeat(m.actions())
		m.tables.SetFaults(store.Faults{})
		m.advance(100)
		seatChanges += m.seatChanges
	})
	if seatChanges == 0 {
		t.Fatal("no seat passed from one instance to another in any run: nothing was tested")
	}
}

// TestSeatCount checks that VMs configured with different numbers of seats never hold seats at
// the same time, which would make them use overlapping slots, and that the number can change
// once the other VMs were shut down or dropped.
func TestSeatCount(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	input := func(vm, instance string, seats int) seatDecisionInput {
		return seatDecisionInput{
			now: now, vm: vm, instance: instance, seats: seats, window: modelWindow, skew: modelSkew,
			listed: map[string]bool{"a": true, "b": true}, listedAt: now,
		}
	}
	held := seat{Seat: 3, VM: "a", Instance: "a1", TakenAt: now.Add(-time.Hour), UsableAt: now.Add(-time.Hour)}
	stopped, dropped := held, held
	stopped.Instance = ""
	dropped.FreeAt = now.Add(-time.Minute)
	cases := map[string]struct {
		others   seat
		vm       string
		refused  bool
		usableAt time.Time
	}{
		"seat of another VM":                    {others: held, vm: "b", refused: true},
		"seat of another VM that was shut down": {others: stopped, vm: "b", usableAt: now},
		"seat of another VM that was dropped":   {others: dropped, vm: "b", usableAt: now},
		"own seat after a kill":                 {others: held, vm: "a", usableAt: now.Add(modelWindow + modelSkew)},
		"own seat after a graceful shutdown":    {others: stopped, vm: "a", usableAt: now},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			row, _, err := seatRow{Count: 4, Seats: []seat{c.others}}.desired(input(c.vm, "new", 2))
			own := row.seatOf(c.vm)
			if c.refused {
				if err == nil || own != nil || row.Count != 4 {
					t.Fatalf("row is %+v, error %v", row, err)
				}
				return
			}
			if err != nil || row.Count != 2 || len(row.Seats) != 1 || own.Seat >= 2 || own.Instance != "new" || !own.UsableAt.Equal(c.usableAt) {
				t.Fatalf("row is %+v, error %v", row, err)
			}
		})
	}
}
