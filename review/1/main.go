// Case 1: one recurring submission is accepted. Each machine that leads the cell then exceeds its
// memory while it loads that submission, and nothing is scheduled anymore.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"tanagerstack.org/review/sim"
)

const (
	// The recurring submission: each 10 s for a day, 250 tasks at a time, for the first time in an
	// hour.
	occurrences = 8640
	interval    = 10 * time.Second
	tasks       = 250
	// traffic is how long small submissions are handed in, one each gap.
	traffic  = 20 * time.Second
	gap      = 250 * time.Millisecond
	finish   = 14 * time.Second
	machines = 4
)

func main() { os.Exit(sim.Main(play)) }

func play(record *sim.Record, trouble bool) (broken bool, err error) {
	store, err := sim.NewStore(record)
	if err != nil {
		return false, err
	}
	store.Config(1, 2)
	fleet := sim.NewFleet(record, store)
	kind := sim.Kind{CPU: 16000, MemMB: 65536, Labels: []string{"a", "r1"}}
	for i := range 4 {
		if _, err := sim.NewWorker(fleet, fmt.Sprintf("w-%d", i+1), kind, 6*time.Second, 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	cell, err := sim.NewCell(record, machines, store.Address(), 6000)
	if err != nil {
		return false, err
	}
	defer cell.Close()
	if err := cell.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	var peak atomic.Int64
	for _, vm := range cell.VMs {
		go watchMemory(record, vm, &peak)
	}
	time.Sleep(3 * time.Second)

	client := sim.NewClient(record)
	run := rand.Uint32()
	var ids []string
	end := time.Now().Add(traffic)
	for n := 0; time.Now().Before(end); n++ {
		if n == 8 && trouble {
			id := sim.JobID(run, 0xffff)
			body := fmt.Sprintf(`{"spec":"recurring","first_ms":%d,"interval_ms":%d,"repeat_count":%d,"steps":[{"count":%d,"cpu":100,"mem_mb":64,"estimate_ms":500}]}`,
				time.Now().Add(time.Hour).UnixMilli(), interval.Milliseconds(), occurrences, tasks)
			record.Say("recurring submission of %d bytes: %d times %d tasks: accepted %t", len(body), occurrences, tasks, client.Submit(cell.VMs, 0, "/q/"+id, body))
		}
		id := sim.JobID(run, n)
		fleet.Plan(id, sim.TaskPlan{CPU: 500, MemMB: 128, Spec: "small", RunTime: 300 * time.Millisecond})
		go func() {
			if client.Submit(cell.VMs, n, "/q/"+id, `{"spec":"small","steps":[{"count":2,"cpu":500,"mem_mb":128,"estimate_ms":300}]}`) {
				record.Line("accepted: %s", id)
			}
		}()
		ids = append(ids, id)
		time.Sleep(gap)
	}
	record.Say("end of the traffic: %d small submissions", len(ids))
	time.Sleep(finish)
	unfinished := sim.Unfinished(record, client, cell, fleet, ids, 2)
	ended := 0
	for _, vm := range cell.VMs {
		if record.Say("%s: killed %d times for its memory", vm.Name, vm.MemoryKills()); vm.MemoryKills() >= 3 {
			ended++
		}
	}
	record.Say("highest memory of a process: %d MB, limit %d MB", peak.Load()/1e6, sim.MemoryMB)
	record.Say("Fault: on %d of %d machines the process ended by itself three times or more (two at least break the rule)", ended, machines)
	record.Say("LOST: %d of %d accepted small submissions have nothing running and are not done %s after the end of the traffic", unfinished, len(ids), finish)
	return ended >= 2 || unfinished > 0, nil
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform does.
func watchMemory(record *sim.Record, vm *sim.VM, peak *atomic.Int64) {
	for {
		time.Sleep(20 * time.Millisecond)
		used := vm.Memory()
		if used > peak.Load() {
			peak.Store(used)
		}
		if used > sim.MemoryMB*1e6 {
			record.Say("%s uses %d MB, more than its %d MB: killed", vm.Name, used/1e6, sim.MemoryMB)
			vm.CountMemoryKill()
			vm.Signal(syscall.SIGKILL)
			time.Sleep(400 * time.Millisecond)
		}
	}
}
