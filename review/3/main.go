// Case 3: a machine that leads freezes for 4 s while two workers have more than 500 results each
// that were not acknowledged. The next leader starts tasks again that have ended "done".
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"tanagerstack.org/review/sim"
)

const (
	jobs, tasks = 70, 20
	runTime     = 5 * time.Second
	freeze      = 4 * time.Second
)

func main() { os.Exit(sim.Main(play)) }

func play(record *sim.Record, trouble bool) (broken bool, err error) {
	store, err := sim.NewStore(record)
	if err != nil {
		return false, err
	}
	store.Config(1, 2)
	fleet := sim.NewFleet(record, store)
	// 64 cores and 256 GB, as the workers of inspect-svc.
	kind := sim.Kind{CPU: 64000, MemMB: 262144, Labels: []string{"a", "r1"}}
	var workers []*sim.Worker
	for i := range 2 {
		w, err := sim.NewWorker(fleet, fmt.Sprintf("w-%d", i+1), kind, 10*time.Second, 200*time.Millisecond)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	cell, err := sim.NewCell(record, 3, store.Address(), 10000)
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
	var ids []string
	began := time.Now()
	for n := range jobs {
		id := sim.JobID(run, n)
		ids = append(ids, id)
		fleet.Plan(id, sim.TaskPlan{CPU: 80, MemMB: 100, Spec: "work", RunTime: runTime})
		body := fmt.Sprintf(`{"spec":"work","steps":[{"count":%d,"cpu":80,"mem_mb":100,"estimate_ms":%d}]}`, tasks, runTime.Milliseconds())
		if !client.Submit(cell.VMs, n, "/q/"+id, body) {
			return false, fmt.Errorf("submission %s was not accepted", id)
		}
		time.Sleep(12 * time.Millisecond)
	}
	record.Say("%d submissions of %d tasks accepted in %s", jobs, tasks, time.Since(began).Round(time.Millisecond))
	// The freeze begins shortly before the first results.
	for len(fleet.All()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	first := fleet.All()[0].At
	time.Sleep(first + runTime - 150*time.Millisecond - record.Now())
	for _, w := range workers {
		running, results := w.Counts()
		record.Say("%s: %d running, %d results not acknowledged", w.ID, running, results)
	}
	if trouble {
		vm := cell.Leader(store)
		if vm == nil {
			return false, fmt.Errorf("no leader")
		}
		record.Say("freeze of %s for %s", vm.Name, freeze)
		vm.Signal(syscall.SIGSTOP)
		time.Sleep(freeze)
		vm.Signal(syscall.SIGCONT)
		record.Say("%s wakes", vm.Name)
	}
	deadline := time.Now().Add(25 * time.Second)
	done := 0
	for done < jobs && time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		done = 0
		for n, id := range ids {
			if _, body := client.Do(cell.VMs[n%len(cell.VMs)], "GET", "/q/"+id, "", 3*time.Second); strings.Contains(body, `"done"`) {
				done++
			}
		}
	}
	time.Sleep(2 * time.Second)
	for _, w := range workers {
		record.Say("%s: at most %d results not acknowledged at once", w.ID, w.MostListed)
	}
	record.Say("%d of %d submissions shown as done", done, jobs)
	return sim.Twice(record, fleet), nil
}
