package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

func init() { cases["retain"] = retainCase }

const (
	// sheetRate is the number of submissions a second on the sheet of Kabinett.
	sheetRate = 1.47 + 5.44 + 48.2
	// status is status_s, the time for which the state of a submission has to be known.
	status = 120 * time.Second
	// uptime is how long the system has worked before its processes are killed.
	uptime = 2 * time.Hour
	// samples is the number of submissions whose rows are the pattern for the others.
	samples = 40
)

// retainCase: the system has worked at the sheet's rate for a while, and all submissions are done. Then
// all processes are killed and start again.
func retainCase(o options) result {
	c, err := NewCell(o.root, o.record, 3, 48, 16000)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer c.Close(false)
	if err := c.StartAll(); err != nil {
		c.Log("%v", err)
		return failed
	}
	patterns := c.finishedRows()
	if len(patterns) < samples {
		c.Log("only %d submissions are done and compacted", len(patterns))
		return failed
	}
	worked := uptime
	if !o.trouble {
		worked = status
	}
	for _, vm := range c.VMs {
		vm.Signal(syscall.SIGKILL)
		<-vm.done
	}
	n := int(sheetRate * worked.Seconds())
	c.Store.Fill(copies(patterns, n))
	c.Log("all processes are killed; the store has %d rows of %d submissions that are done, those of %v at %.1f a second", c.Store.Count("jobs")+c.Store.Count("progress"), n+samples, worked, sheetRate)
	w := &memoryWatch{cell: c, peak: make(map[string]float64), stop: make(chan struct{}), done: make(chan struct{})}
	for _, vm := range c.VMs {
		if err := vm.Start(); err != nil {
			return failed
		}
	}
	go w.run()
	time.Sleep(30 * time.Second)
	after := ordinary(c, "after")
	close(w.stop)
	<-w.done
	for _, vm := range c.VMs {
		c.Log("%s: at most %.1f MB, killed for its memory %d times", vm.Name, w.peak[vm.Name], w.kills[vm.Name])
	}
	if len(w.kills) > 0 || !after {
		c.Log("BROKEN: processes exceed their memory, or an ordinary submission is not done")
		return broken
	}
	return held
}

// finishedRows makes some submissions, waits until they are done and returns their rows.
func (c *Cell) finishedRows() [][]Row {
	body := []byte(`{"spec":"work=100 booth 17, hourly hold","steps":[{"count":2,"cpu":1400,"mem_mb":64,"estimate_ms":640}]}`)
	var ids []string
	for i := range samples {
		id := NewID()
		if code, _ := c.VMs[i%len(c.VMs)].Call("POST", id, body, 3*time.Second); code == 200 {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		c.Await(5*time.Second, func() bool {
			_, text := c.VMs[0].Call("GET", id, nil, time.Second)
			return strings.Contains(text, "done")
		})
	}
	time.Sleep(3 * time.Second) // the system compacts the rows of finished submissions
	var list [][]Row
	for _, id := range ids {
		job, found := c.Store.Find("jobs", id)
		progress, also := c.Store.Find("progress", id)
		if found && also {
			list = append(list, []Row{job, progress})
		}
	}
	c.Log("%d submissions are done; a row of theirs has %d bytes in jobs and %d in progress", len(list), len(list[0][0].Value), len(list[0][1].Value))
	return list
}

// copies returns the rows of n more submissions with other IDs.
func copies(patterns [][]Row, n int) []Row {
	rows := make([]Row, 0, 2*n)
	for i := range n {
		id := fmt.Sprintf("%08x%08x", i, rand.Uint32())
		for _, row := range patterns[i%len(patterns)] {
			row.Value = bytes.ReplaceAll(row.Value, []byte(row.Key), []byte(id))
			row.Key = id
			if row.Table == "jobs" {
				hash := fnv.New32a()
				_, _ = hash.Write([]byte(id))
				row.Part = fmt.Sprintf("p%d", hash.Sum32()%32)
			}
			rows = append(rows, row)
		}
	}
	return rows
}
