package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// maxBodyBytes is the limit of the configuration, limits.max_body_bytes.
	maxBodyBytes = 262144
	// crowd is the number of clients that send large bodies, each submissionsEach of them, one after the
	// other.
	crowd, submissionsEach = 16, 12
	// watchFor is how long the processes are watched after the crowd.
	watchFor = 40 * time.Second
	// restartDelay is the time after which the platform starts a process again that ended.
	restartDelay = time.Second
	// finish is finish_s, the time in which a submission has to be known at the end.
	finish = 14 * time.Second
)

// largeBody returns a submission with a number of steps, each of which waits for all earlier ones.
func largeBody(steps, tasks int) []byte {
	var b strings.Builder
	b.WriteString(`{"spec":"work=300","steps":[`)
	for i := range steps {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"count":%d,"cpu":1000,"mem_mb":64,"estimate_ms":300`, tasks)
		if i > 0 {
			b.WriteString(`,"after":[`)
			for j := range i {
				if j > 0 {
					b.WriteByte(',')
				}
				fmt.Fprintf(&b, "%d", j)
			}
			b.WriteByte(']')
		}
		b.WriteByte('}')
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// memoryCase: a small crowd submits large bodies of legal size. The platform kills each process that
// exceeds its memory and starts it again.
func memoryCase(o options) result {
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
	w := &memoryWatch{cell: c, peak: make(map[string]float64), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	c.Log("each process may take %d MB", c.VMs[0].MemoryMB)
	if !ordinary(c, "before") {
		return failed
	}
	body := largeBody(230, 43)
	if len(body) > maxBodyBytes {
		return failed
	}
	if o.trouble {
		c.Log("%d clients send %d submissions each of %d bytes", crowd, submissionsEach, len(body))
		codes := sendCrowd(c, body)
		c.Log("answers to the crowd, by status (0 is none): %v", codes)
	}
	time.Sleep(watchFor)
	after := ordinary(c, "after")
	close(w.stop)
	<-w.done
	for _, vm := range c.VMs {
		c.Log("%s: at most %.1f MB, killed for its memory %d times", vm.Name, w.peak[vm.Name], w.kills[vm.Name])
	}
	switch {
	case len(w.kills) > 0:
		c.Log("BROKEN: processes exceed their memory")
		return broken
	case !after:
		return failed
	}
	return held
}

// sendCrowd submits the body from all clients of the crowd and counts the answers. A client without an
// answer sends the same ID to another VM.
func sendCrowd(c *Cell, body []byte) map[int]int {
	codes := make(map[int]int)
	var mu sync.Mutex
	var running sync.WaitGroup
	for client := range crowd {
		running.Add(1)
		go func() {
			defer running.Done()
			for range submissionsEach {
				id := NewID()
				for try := range 5 {
					code, _ := c.VMs[(client+try)%len(c.VMs)].Call("POST", id, body, 3*time.Second)
					mu.Lock()
					codes[code]++
					c.Log("crowd: POST %s: %d", id, code)
					mu.Unlock()
					if code == 200 || code == 400 {
						break
					}
					time.Sleep(time.Second)
				}
			}
		}()
	}
	running.Wait()
	return codes
}

// ordinary makes one small submission and reports whether it is shown as done in time.
func ordinary(c *Cell, when string) bool {
	id := NewID()
	body := []byte(`{"spec":"work=300","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":300}]}`)
	deadline := time.Now().Add(finish)
	accepted := false
	for try := 0; time.Now().Before(deadline); try++ {
		vm := c.VMs[try%len(c.VMs)]
		if !accepted {
			code, text := vm.Call("POST", id, body, 3*time.Second)
			c.Log("ordinary caller, %s: POST %s at %s: %d %.60s", when, id, vm.Name, code, text)
			accepted = code == 200
		} else if code, text := vm.Call("GET", id, nil, 3*time.Second); code == 200 && strings.Contains(text, `"done"`) {
			c.Log("ordinary caller, %s: GET %s: %d %s", when, id, code, text)
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.Log("ordinary caller, %s: %s is not done after %v (accepted: %v)", when, id, finish, accepted)
	return false
}

// memoryWatch plays the platform: it kills processes that exceed their memory, and starts them again.
type memoryWatch struct {
	cell       *Cell
	peak       map[string]float64
	kills      map[string]int
	stop, done chan struct{}
}

func (w *memoryWatch) run() {
	defer close(w.done)
	w.kills = make(map[string]int)
	restartAt := make(map[*VM]time.Time)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, vm := range w.cell.VMs {
			if at, waits := restartAt[vm]; waits {
				if time.Now().After(at) {
					delete(restartAt, vm)
					if err := vm.Start(); err != nil {
						w.cell.Log("%s: %v", vm.Name, err)
					}
				}
				continue
			}
			if !vm.Alive() {
				w.cell.Log("%s ended: %s", vm.Name, vm.Ended())
				restartAt[vm] = time.Now().Add(restartDelay)
				continue
			}
			used := vm.ResidentMB()
			w.peak[vm.Name] = max(w.peak[vm.Name], used)
			if used > float64(vm.MemoryMB) {
				w.kills[vm.Name]++
				w.cell.Log("%s takes %.1f MB and is killed", vm.Name, used)
				vm.Signal(syscall.SIGKILL)
				<-vm.done
				restartAt[vm] = time.Now().Add(restartDelay)
			}
		}
	}
}
