package worker

import (
	"context"
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/worker"
	"tanagerstack.org/stand/faults"
)

// agentPair is two agents of one failure domain with a shared record.
type agentPair struct {
	fleet    *Fleet
	injector *faults.Injector
	first    *agent
	second   *agent
}

func newAgentPair() *agentPair {
	injector := faults.NewInjector()
	fleet := NewFleet(Options{Capacity: api.Resources{Millicores: 2000, MemoryBytes: 1000}, Faults: injector})
	return &agentPair{fleet: fleet, injector: injector, first: fleet.agent("w1", "d"), second: fleet.agent("w2", "d")}
}

// startParams are the parameters of a start request. startTask replaces a zero lease by one minute.
type startParams struct {
	epoch             int64
	attempt           int
	lease             time.Duration
	startBeforePassed bool
	args              []string
	extraMillicores   int64
}

func startTask(t *testing.T, a *agent, id string, c startParams) (string, error) {
	t.Helper()
	now := time.Now()
	if c.lease == 0 {
		c.lease = time.Minute
	}
	before := now.Add(time.Second)
	if c.startBeforePassed {
		before = now.Add(-time.Second)
	}
	answer, err := a.StartTasks(context.Background(), &api.StartRequest{
		Domain: "d", Epoch: c.epoch, StartBefore: before,
		Tasks: []api.TaskStart{{
			TaskID: id, Attempt: c.attempt, Command: c.args, LeaseDeadline: now.Add(c.lease),
			Resources: api.Resources{Millicores: 1000 + c.extraMillicores, MemoryBytes: 100},
		}},
	})
	if err != nil {
		return "", err
	}
	if answer.Results[0].Started {
		return "started", nil
	}
	return answer.Results[0].Reason.Or(""), nil
}

func TestRecordCountsConcurrentRuns(t *testing.T) {
	tests := map[string]struct {
		first startParams
		// between runs between the start on the first agent and the start on the second.
		between func(p *agentPair)
		doubled int64
	}{
		"still running": {doubled: 1},
		"stopped before": {between: func(p *agentPair) {
			_, _ = p.first.StopTasks(context.Background(), &api.StopRequest{Domain: "d", TaskIDs: []string{"j/0"}})
		}},
		"expired before": {first: startParams{lease: time.Millisecond}},
		"done before":    {first: startParams{args: []string{"--run-for=1ms"}}},
		"renewed after a short lease": {first: startParams{lease: 20 * time.Millisecond}, doubled: 1, between: func(p *agentPair) {
			_, _ = p.first.RenewTasks(context.Background(), &api.RenewRequest{
				Domain: "d", TaskIDs: []string{"j/0"}, LeaseDeadline: time.Now().Add(time.Minute),
			})
		}},
		"slowed down past its first end": {first: startParams{args: []string{"--run-for=20ms"}}, doubled: 1, between: func(p *agentPair) {
			_, _ = p.first.ThrottleTasks(context.Background(), &api.ThrottleRequest{
				Domain: "d", TaskIDs: []string{"j/0"}, Millicores: 1,
			})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newAgentPair()
			if got, err := startTask(t, p.first, "j/0", test.first); got != "started" {
				t.Fatalf("first start: %q, %v", got, err)
			}
			if test.between != nil {
				test.between(p)
			}
			time.Sleep(30 * time.Millisecond)
			if got, err := startTask(t, p.second, "j/0", startParams{attempt: 1}); got != "started" {
				t.Fatalf("second start: %q, %v", got, err)
			}
			record := p.fleet.Record()
			if record.Doubled != test.doubled || record.Executions != 2 || p.fleet.Executions("j/0") != 2 {
				t.Errorf("record = %+v, want doubled %d", record, test.doubled)
			}
		})
	}
}

func TestStartIsRefused(t *testing.T) {
	tests := map[string]struct {
		params     startParams
		want       string
		overloaded int64
		stale      bool
	}{
		"fits":              {params: startParams{attempt: 1, epoch: 5}, want: "started"},
		"too large":         {params: startParams{attempt: 1, epoch: 5, extraMillicores: 1}, want: "no-capacity", overloaded: 1},
		"too late":          {params: startParams{attempt: 1, epoch: 5, startBeforePassed: true}, want: "start-before-passed"},
		"lease over":        {params: startParams{attempt: 1, epoch: 5, lease: -time.Second}, want: "lease-deadline-passed"},
		"older lease epoch": {params: startParams{attempt: 1, epoch: 4}, stale: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newAgentPair()
			if got, err := startTask(t, p.first, "first/0", startParams{epoch: 5}); got != "started" {
				t.Fatalf("first start: %q, %v", got, err)
			}
			got, err := startTask(t, p.first, "j/0", test.params)
			if got != test.want || (err != nil) != test.stale {
				t.Errorf("start = %q, error %v", got, err)
			}
			if record := p.fleet.Record(); record.Overloaded != test.overloaded {
				t.Errorf("record = %+v, want overloaded %d", record, test.overloaded)
			}
		})
	}
}

func TestTaskLifecycle(t *testing.T) {
	begin := time.Now()
	at := begin.Add
	start := func(args ...string) *task {
		return newTask(&api.TaskStart{
			TaskID: "j/0", Command: args, LeaseDeadline: at(10 * time.Second), Resources: api.Resources{Millicores: 1000},
		}, begin)
	}
	tests := map[string]struct {
		task  *task
		drive func(t *task)
		phase api.TaskStatePhase
		end   time.Duration
	}{
		"succeeds":                  {task: start("--run-for=3s"), phase: api.TaskStatePhaseSucceeded, end: 3 * time.Second},
		"fails":                     {task: start("--run-for=3s", "--fail"), phase: api.TaskStatePhaseFailed, end: 3 * time.Second},
		"expires":                   {task: start(), phase: api.TaskStatePhaseLapsed, end: 10 * time.Second},
		"expires before completion": {task: start("--run-for=11s"), phase: api.TaskStatePhaseLapsed, end: 10 * time.Second},
		"throttled to 25%":          {task: start("--run-for=2s"), drive: func(t *task) { t.advance(at(time.Second)); t.setThrottle(250) }, phase: api.TaskStatePhaseSucceeded, end: 5 * time.Second},
		"throttled usage":           {task: start("--run-for=2s", "--use-millicores=4000"), drive: func(t *task) { t.setThrottle(1000) }, phase: api.TaskStatePhaseSucceeded, end: 8 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.drive != nil {
				test.drive(test.task)
			}
			if !test.task.advance(at(test.end - time.Millisecond)) {
				t.Errorf("task ended too early: %+v", test.task.state)
			}
			test.task.advance(at(20 * time.Second))
			if got := test.task.state; got.Phase != test.phase || !got.EndedAt.Value.Equal(at(test.end)) {
				t.Errorf("task ended as %s after %s, want %s after %s", got.Phase, got.EndedAt.Value.Sub(begin), test.phase, test.end)
			}
		})
	}
}

func TestCheckpointResumes(t *testing.T) {
	p := newAgentPair()
	_, _ = startTask(t, p.first, "j/0", startParams{args: []string{"--run-for=1h"}})
	time.Sleep(5 * time.Millisecond)
	list, err := p.first.StopTasks(context.Background(), &api.StopRequest{Domain: "d", TaskIDs: []string{"j/0"}, Checkpoint: true})
	if err != nil {
		t.Fatal(err)
	}
	resumed := newTask(&api.TaskStart{Checkpoint: list.Tasks[0].Checkpoint, Command: []string{"--run-for=1h"}}, time.Now())
	if resumed.workDone < 5*time.Millisecond {
		t.Errorf("resumed task has %s of work done, want at least 5ms", resumed.workDone)
	}
}

func TestFailAllFailsTasks(t *testing.T) {
	p := newAgentPair()
	p.injector.Set(faultapi.Fault{Kind: faultapi.FaultKindFailAll, Member: faultapi.NewOptString("w1")}, time.Now())
	_, _ = startTask(t, p.first, "a/0", startParams{args: []string{"--run-for=1h"}})
	_, _ = startTask(t, p.second, "b/0", startParams{args: []string{"--run-for=1h"}})
	time.Sleep(2 * defaultFailureDelay)
	failed, _ := p.first.ListTasks(context.Background())
	running, _ := p.second.ListTasks(context.Background())
	if failed.Tasks[0].Phase != api.TaskStatePhaseFailed || running.Tasks[0].Phase != api.TaskStatePhaseRunning {
		t.Errorf("task on w1 is %s, want failed; task on w2 is %s, want running", failed.Tasks[0].Phase, running.Tasks[0].Phase)
	}
}
