// Case 4: the store loses the answer to the write of a submission and carries the write out
// seconds later. The client gets no answer, cancels, and the cancellation is acknowledged. Then the
// submission's tasks start.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"tanagerstack.org/review/sim"
)

const (
	jobs, tasks = 10, 2
	// lateWrite is when the write is carried out. The pages allow 1 to 6 s.
	lateWrite = 5500 * time.Millisecond
	// cancelTime and stability are the bounds cancel_ms and stability_ms.
	cancelTime = 3 * time.Second
	stability  = 4 * time.Second
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
	cell, err := sim.NewCell(record, 3, store.Address(), 6000)
	if err != nil {
		return false, err
	}
	defer cell.Close()
	if err := cell.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	client := sim.NewClient(record)
	run := rand.Uint32()
	// The answers to a third of the writes are lost, for as long as it takes to send the
	// submissions.
	var mu sync.Mutex
	writes, lastLost := 0, time.Duration(0)
	if trouble {
		store.LoseTx(func(tx sim.Tx) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			if len(tx.Puts) == 0 || tx.Puts[0].Table != "jobs" {
				return 0, false
			}
			writes++
			if writes%3 != 0 {
				return 0, false
			}
			lastLost = record.Now()
			return lateWrite, true
		})
	}
	var ids []string
	var sent sync.WaitGroup
	acked := make(map[string]time.Duration)
	for n := range jobs {
		id := sim.JobID(run, n)
		ids = append(ids, id)
		fleet.Plan(id, sim.TaskPlan{CPU: 500, MemMB: 100, Spec: "work", RunTime: 4 * time.Second})
		sent.Add(1)
		go func() {
			defer sent.Done()
			body := fmt.Sprintf(`{"spec":"work","steps":[{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":4000}]}`, tasks)
			submitted, _ := client.Do(cell.VMs[n%3], "POST", "/q/"+id, body, 3*time.Second)
			// The client gives up and cancels, at another machine.
			canceled, _ := client.Do(cell.VMs[(n+1)%3], "DELETE", "/q/"+id, "", 3*time.Second)
			record.Say("%s: POST %d, DELETE %d", id, submitted, canceled)
			if canceled/100 == 2 || canceled == 410 {
				mu.Lock()
				acked[id] = record.Now()
				mu.Unlock()
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	store.LoseTx(nil)
	sent.Wait()
	time.Sleep(12 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	count := 0
	for _, s := range fleet.All() {
		ack, ok := acked[s.Job]
		if ok && s.At > ack+cancelTime && (!trouble || s.At > lastLost+stability) {
			count++
			record.Say("UNASKED: %s run %d started on %s at %.3f, %.3f s after its cancellation was acknowledged, %.3f s after the last lost answer; it ended at %.3f: %s",
				s.Task, s.Run, s.Worker, s.At.Seconds(), (s.At - ack).Seconds(), (s.At - lastLost).Seconds(), s.Ended.Seconds(), s.How)
		}
	}
	for n, id := range ids {
		_, body := client.Do(cell.VMs[n%3], "GET", "/q/"+id, "", 3*time.Second)
		record.Line("%s: %s", id, strings.TrimSpace(body))
	}
	record.Say("%d starts later than %s after the acknowledged cancellation", count, cancelTime)
	return count > 0, nil
}
