package proof

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"tanagerstack.org/core/crowd"
)

// The size of the crowd and the bounds are fixed.
const (
	crowdClients     = 500
	crowdMemoryMB    = 128
	crowdDescriptors = 400
	// crowdSettledMemoryMB bounds the memory after the crowd has gone.
	crowdSettledMemoryMB = 80
	// crowdBodyBytes is the documented limit of a body.
	crowdBodyBytes = 262_144
	// crowdPatience ends a wait of a test that would otherwise not end.
	crowdPatience = 90 * time.Second
)

// crowdFlags lower the limits of the entry VM.
var crowdFlags = []string{"--memory-mb", fmt.Sprint(crowdMemoryMB), "--max-fds", fmt.Sprint(crowdDescriptors)}

// TestEntryWithstandsCrowd guards against an entry VM that runs out of memory or descriptors, or hangs,
// because of clients with a valid token that send many large bodies and do not end them, send their
// header slowly, do not read answers, or send nothing. The process has to live, to stay within its
// memory and descriptors, to serve a request while the crowd stays, and to return the memory after
// it has gone.
func TestEntryWithstandsCrowd(t *testing.T) {
	const credentials = "Host: entry\r\nAuthorization: Bearer dev-farms\r\n"
	job := append([]byte(`{"name":"`), bytes.Repeat([]byte("x"), crowdBodyBytes-len(`{"name":"`))...)
	submit := "POST /v1/jobs HTTP/1.1\r\n" + credentials + "Content-Type: application/json\r\n"
	send := "POST /v1/services/booking/requests HTTP/1.1\r\n" + credentials + "Content-Type: application/octet-stream\r\nX-Request-Id: r\r\n"
	lookUp := "GET /v1/jobs/none HTTP/1.1\r\n" + credentials
	cases := map[string]crowd.Options{
		"whole bodies":     {Head: submit, Body: job, Form: crowd.Whole, Missing: 10},
		"bodies in pieces": {Head: submit, Body: job, Form: crowd.Pieces, Missing: 10},
		"large chunks":     {Head: submit, Body: job, Form: crowd.LargeChunks, Missing: 10},
		"small chunks":     {Head: submit, Body: job, Form: crowd.SmallChunks, Missing: 10},
		"service requests": {Head: send, Body: bytes.Repeat([]byte("x"), 1<<20), Form: crowd.Whole, Missing: 10},
		"slow headers":     {Head: submit, Form: crowd.SlowHeader},
		"answers not read": {Head: lookUp, Form: crowd.Unread},
		"idle connections": {Form: crowd.Idle},
	}
	for name, opts := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, options{domains: 1, entries: 1, targets: 2, extraFlags: crowdFlags})
			opts.Address, opts.Clients = f.entries[0].callers, crowdClients
			f.checkCrowd(f.entries[0], opts)
		})
	}
}

// checkCrowd runs one crowd against an entry VM and checks what the process uses and serves.
func (f *fleet) checkCrowd(vm *entryVM, opts crowd.Options) {
	f.t.Helper()
	const megabyte = 1_000_000
	pid := vm.cmd.Process.Pid
	watch := crowd.StartWatch(pid, opts.Address)
	c := crowd.Start(opts)
	c.Wait()
	f.awaitCompleted(vm, "during")
	c.Close()
	f.awaitCompleted(vm, "after")
	peak, err := watch.Stop()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("peak: %d MB, %d descriptors", peak.Memory/megabyte, peak.Descriptors)
	if peak.Memory > crowdMemoryMB*megabyte {
		f.t.Errorf("the process used %d MB, more than %d", peak.Memory/megabyte, crowdMemoryMB)
	}
	if peak.Descriptors > crowdDescriptors {
		f.t.Errorf("the process used %d descriptors, more than %d", peak.Descriptors, crowdDescriptors)
	}
	var now crowd.Usage
	for deadline := time.Now().Add(crowdPatience); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if now, err = crowd.Measure(pid, opts.Address); err != nil {
			f.t.Fatal(err)
		}
		if now.Memory <= crowdSettledMemoryMB*megabyte {
			return
		}
	}
	f.t.Errorf("the process still uses %d MB after the crowd has gone, more than %d", now.Memory/megabyte, crowdSettledMemoryMB)
}

// awaitCompleted sends requests until one is completed.
func (f *fleet) awaitCompleted(vm *entryVM, name string) {
	f.t.Helper()
	var last answer
	for deadline := time.Now().Add(crowdPatience); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		r := request{caller: "hosts", id: fmt.Sprintf("%s-%d", name, f.random.Int63()), body: "hello", window: time.Second}
		if last = vm.send(r); last.outcome == "completed" {
			return
		}
	}
	f.t.Errorf("no request was served: %+v", last)
}
