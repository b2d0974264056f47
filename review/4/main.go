// Case 4: a worker crashes and starts again under its ID within a second, and is cut off soon
// after. The leader takes its tasks for ended by a lease of 5 s and starts them elsewhere, while the
// worker holds a lease of up to hold_max_ms and goes on with them.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"tanagerstack.org/review/sim"
)

const (
	maxHold = 10 * time.Second // hold_max_ms
	down    = 300 * time.Millisecond
	cut     = 5500 * time.Millisecond
	// Two submissions for the workers of kind b: one that fills all but the last of them for a
	// short time, and a long one that then starts on the last.
	fillTime  = 3 * time.Second
	fillTasks = 128
	runTime   = 9 * time.Second
	tasks     = 12
)

func main() { os.Exit(sim.Main(play)) }

func play(record *sim.Record, trouble bool) (broken bool, err error) {
	store, err := sim.NewStore(record)
	if err != nil {
		return false, err
	}
	store.Config(1, 2)
	fleet := sim.NewFleet(record, store)
	a := sim.Kind{CPU: 64000, MemMB: 262144, Labels: []string{"a", "r1"}}
	b := sim.Kind{CPU: 64000, MemMB: 262144, Labels: []string{"b", "r1"}}
	var last *sim.Worker
	for i, kind := range []sim.Kind{a, a, a, a, a, b, b, b} {
		if last, err = sim.NewWorker(fleet, fmt.Sprintf("w-%d", i+1), kind, maxHold, 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	cell, err := sim.NewCell(record, 3, store.Address(), int(maxHold.Milliseconds()))
	if err != nil {
		return false, err
	}
	defer cell.Close()
	if err := cell.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	client := sim.NewClient(record)
	run := rand.Uint32()
	// Short tasks all the time.
	var traffic sync.WaitGroup
	stop := make(chan struct{})
	traffic.Add(1)
	go func() {
		defer traffic.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			id := sim.JobID(run, n)
			fleet.Plan(id, sim.TaskPlan{CPU: 1000, MemMB: 500, Spec: "short", RunTime: 120 * time.Millisecond})
			client.Submit(cell.VMs, n, "/q/"+id, `{"spec":"short","steps":[{"count":2,"cpu":1000,"mem_mb":500,"estimate_ms":120,"required_label":"a"}]}`)
		}
	}()
	time.Sleep(10 * time.Second)
	if trouble {
		last.Crash()
		time.Sleep(down)
		if err := last.Restart(b, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(600 * time.Millisecond)
	for n, job := range []struct {
		tasks   int
		runTime time.Duration
	}{{fillTasks, fillTime}, {tasks, runTime}} {
		id := sim.JobID(run, 0xfff0+n)
		fleet.Plan(id, sim.TaskPlan{CPU: 1000, MemMB: 500, Spec: "long", RunTime: job.runTime})
		body := fmt.Sprintf(`{"spec":"long","steps":[{"count":%d,"cpu":1000,"mem_mb":500,"estimate_ms":%d,"required_label":"b"}]}`, job.tasks, job.runTime.Milliseconds())
		if !client.Submit(cell.VMs, n, "/q/"+id, body) {
			return false, fmt.Errorf("submission %s was not accepted", id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	record.Say("lease of %s: %s", last.ID, last.Lease().Round(time.Millisecond))
	if trouble {
		last.CutOff(cut)
	} else {
		time.Sleep(cut)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	traffic.Wait()
	return sim.Twice(record, fleet), nil
}
