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

// process is one instance of a VM in the model.
type process struct {
	vm     string
	offset time.Duration
	seater *seatManager
	view   View
	paused bool
	// cut keeps the process from the platform.
	cut bool
	// pausedAt and refreshedAt are by the model's clock.
	pausedAt    time.Time
	refreshedAt time.Time
	// list is the last list that the process read.
	list snapshot
}

// snapshot is the platform's list at an instant.
type snapshot struct {
	at     time.Time
	listed map[string]bool
}

// use is the last request that an instance started on a seat.
type use struct {
	instance string
	endsAt   time.Time
}

// seatModel runs VMs of one failure domain over a fake clock, with a table
// service that loses answers and a list that lags.
type seatModel struct {
	t         *rapid.T
	now       time.Time
	seats     int
	tables    *store.Memory
	processes map[string]*process
	// history has the platform's list at each step; enlistAt has VMs that it
	// will show.
	history  []snapshot
	enlistAt map[string]time.Time
	started  int
	uses     map[int][]use
	// taken counts seats that passed from one VM to another.
	taken int
}

func newSeatModel(t *rapid.T) *seatModel {
	return &seatModel{
		t:         t,
		now:       time.Unix(1_700_000_000, 0),
		seats:     rapid.IntRange(1, 3).Draw(t, "seats"),
		tables:    store.NewMemory(),
		processes: make(map[string]*process),
		history:   []snapshot{{at: time.Unix(1_700_000_000, 0)}},
		enlistAt:  make(map[string]time.Time),
		uses:      make(map[int][]use),
	}
}

func (m *seatModel) clock(p *process) time.Time { return m.now.Add(p.offset) }

func (m *seatModel) draw(label string) *process {
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

// start kills the VM's present process, if there is one, and starts another. The
// list shows a new VM after a while, but one that it had dropped from the start.
func (m *seatModel) start(vm string) {
	m.started++
	if m.everListed(vm) {
		m.enlist(vm)
	} else {
		m.enlistAt[vm] = m.now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(m.t, "lag")))
	}
	skew := int64(modelSkew / 2)
	p := &process{
		vm:     vm,
		offset: time.Duration(rapid.Int64Range(-skew, skew).Draw(m.t, "offset")),
		seater: newSeatManager(Options{Tables: m.tables, Domain: "d", Name: vm}, fmt.Sprint(vm, m.started)),
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

// enlist adds the VM to the list, and delist drops it.
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
	m.history = append(m.history, snapshot{at: m.now, listed: listed})
}

// refresh lets a process poll the list, as it was a while ago, and its seat.
func (m *seatModel) refresh(p *process) {
	if p.paused || p.cut {
		return
	}
	age := rapid.IntRange(0, min(20, len(m.history)-1)).Draw(m.t, "age of list")
	if list := m.history[len(m.history)-1-age]; list.at.After(p.list.at) {
		p.list = list
	}
	p.refreshedAt = m.now
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_ = p.seater.refresh(ctx, seatDecisionInput{
		now:      m.clock(p),
		seats:    m.seats,
		window:   modelWindow,
		skew:     modelSkew,
		listed:   p.list.listed,
		listedAt: p.list.at,
	})
	m.look(p)
}

// look publishes the process's view.
func (m *seatModel) look(p *process) {
	p.view = View{Seat: -1}
	if mine, lapsesAt := p.seater.ownSeat(); mine != nil {
		p.view = View{Seat: mine.Seat, SeatUsableAt: mine.UsableAt, SeatLapsesAt: lapsesAt}
	}
}

// work starts a request in the process's seat, if it may use one.
func (m *seatModel) work(p *process) {
	number, usable := p.view.OwnSeat(m.clock(p))
	if !usable || p.paused {
		return
	}
	uses := m.uses[number]
	for _, other := range uses {
		if other.instance != p.seater.instance && m.now.Before(other.endsAt) {
			m.t.Fatalf("%s uses seat %d at %s, where requests of %s run until %s", p.seater.instance, number, m.now, other.instance, other.endsAt)
		}
	}
	if len(uses) > 0 && uses[0].instance != p.seater.instance {
		m.taken++
	}
	m.uses[number] = []use{{instance: p.seater.instance, endsAt: m.now.Add(modelWindow)}}
}

// pass moves the clock. Processes that are not paused tick and work, and refresh
// at least as often as they would by themselves.
func (m *seatModel) pass(steps int) {
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
			m.work(p)
			p.seater.tick(m.clock(p))
			if m.now.Sub(p.refreshedAt) > seatPeriod {
				m.refresh(p)
			}
			m.look(p)
			m.work(p)
		}
	}
}

func (m *seatModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"start":   func(*rapid.T) { m.start(m.drawVM("vm")) },
		"kill":    func(*rapid.T) { delete(m.processes, m.draw("killed").vm) },
		"refresh": func(*rapid.T) { m.refresh(m.draw("refreshed")) },
		"pass":    func(t *rapid.T) { m.pass(rapid.IntRange(1, 60).Draw(t, "steps")) },
		"pause": func(*rapid.T) {
			p := m.draw("paused")
			p.paused, p.pausedAt = true, m.now
		},
		"cut":    func(*rapid.T) { p := m.draw("cut"); p.cut = !p.cut },
		"freeze": m.freeze,
		"resume": func(*rapid.T) {
			p := m.draw("resumed")
			p.paused = false
			m.work(p)
		},
		"stop": func(*rapid.T) {
			p := m.draw("stopped")
			if !p.paused {
				m.stop(p)
			}
		},
		"drop": m.drop,
		"faults": func(t *rapid.T) {
			share := rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lost")
			m.tables.SetFaults(store.Faults{LostAnswers: share, LostWrites: 0.5, Seed: int64(m.started), Down: rapid.Bool().Draw(t, "down")})
		},
	}
}

// stop shuts a process down. Its last request has ended, or may run until its
// window has passed.
func (m *seatModel) stop(p *process) {
	delete(m.processes, p.vm)
	ended := m.clock(p)
	lost := rapid.Bool().Draw(m.t, "lost")
	for number, uses := range m.uses {
		switch {
		case len(uses) == 0 || uses[0].instance != p.seater.instance:
		case lost:
			ended = latest(ended, uses[0].endsAt.Add(p.offset))
		default:
			delete(m.uses, number)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_ = p.seater.release(ctx, m.clock(p), ended)
}

// drop takes a VM off the list that is dead, or has been paused for long.
func (m *seatModel) drop(*rapid.T) {
	vm := m.drawVM("dropped")
	p := m.processes[vm]
	if p == nil || p.paused && m.now.Sub(p.pausedAt) > PauseLimit {
		delete(m.enlistAt, vm)
		m.delist(vm)
	}
}

// freeze pauses a VM for so long that another may get its seat, and wakes it up
// cut off from the platform.
func (m *seatModel) freeze(t *rapid.T) {
	p := m.draw("frozen")
	p.paused, p.pausedAt, p.cut = true, m.now, true
	m.pass(10)
	delete(m.enlistAt, p.vm)
	m.delist(p.vm)
	if vm := m.drawVM("next"); vm != p.vm {
		m.start(vm)
	}
	m.pass(rapid.IntRange(40, 120).Draw(t, "steps"))
	p.paused = false
	m.work(p)
	m.pass(1)
}

// TestSeatsNeverShared checks that no instance uses a seat while requests of
// another may still run in it.
func TestSeatsNeverShared(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newSeatModel(t)
		t.Repeat(m.actions())
		m.tables.SetFaults(store.Faults{})
		m.pass(100)
		taken += m.taken
	})
	if taken == 0 {
		t.Fatal("no seat passed from one instance to another in any run")
	}
}

// TestSeatCount checks that VMs which divide targets by different numbers never
// hold seats at the same time, and that a stopped domain can be divided anew.
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
		"another's seat":         {others: held, vm: "b", refused: true},
		"another's, stopped":     {others: stopped, vm: "b", usableAt: now},
		"another's, dropped":     {others: dropped, vm: "b", usableAt: now},
		"own after a kill":       {others: held, vm: "a", usableAt: now.Add(modelWindow + modelSkew)},
		"own after a clean stop": {others: stopped, vm: "a", usableAt: now},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			row, _, err := seatRow{Count: 4, Seats: []seat{c.others}}.desired(input(c.vm, "new", 2))
			mine := row.seatOf(c.vm)
			if c.refused {
				if err == nil || mine != nil || row.Count != 4 {
					t.Fatalf("row is %+v, error %v", row, err)
				}
				return
			}
			if err != nil || row.Count != 2 || len(row.Seats) != 1 || mine.Seat >= 2 || mine.Instance != "new" || !mine.UsableAt.Equal(c.usableAt) {
				t.Fatalf("row is %+v, error %v", row, err)
			}
		})
	}
}
