// Command sim2 plays the scripts of the second review: it starts the project's program as separate processes on
// loopback addresses, and is their store, workers, adviser, clients and platform.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the check-in interval of the workers.
const heartbeat = 1500 * time.Millisecond

// bounds are those of the site that the cases name.
const bounds = `bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stability_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=2500
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=6000
bounds.recovery_s=12
bounds.hold_max_ms=6000
bounds.stop_ms=900
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=2
bounds.checkpoint_s=2
bounds.restore_ms=250
bounds.notice_ms=5500
bounds.migrate_s=1.5
bounds.maintenance_s=2
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.pace_ms=100
bounds.harm_ms=4000
`

// memoryMB is limits.memory_mb of a machine. A process that exceeds it is killed.
const memoryMB = 284

// sim is one play.
type sim struct {
	command []string
	dir     string
	zone    string
	subnet  string
	store   *store
	trouble bool
	began   time.Time
	config  map[string]any

	mu      sync.Mutex
	out     *bufio.Writer
	vms     []*vm
	workers []*worker
	// runs counts the runs of each task by how they ended; live holds the runs in progress.
	ends    map[string]map[string]int
	live    map[string]int
	starts  map[string]int
	lastEnd map[string]time.Time
}

func newSim(dir string, trouble bool) (*sim, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &sim{
		dir: dir, zone: "zurich-a", store: newStore(), trouble: trouble, began: time.Now(), out: bufio.NewWriter(file),
		ends: make(map[string]map[string]int), live: make(map[string]int), starts: make(map[string]int), lastEnd: make(map[string]time.Time),
		subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	s.command, err = deployCommand("deploy/system.toml")
	return s, err
}

// deployCommand returns the words of run in a deploy file.
func deployCommand(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run")
}

// record writes a line to record.txt.
func (s *sim) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%9.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	_ = s.out.Flush()
}

func (s *sim) runTime(_, spec string) (time.Duration, bool) { return parseSpec(spec) }

func (s *sim) runBegan(w *worker, l *life, r *runState, c command) {
	s.mu.Lock()
	s.live[r.task]++
	s.starts[r.task]++
	s.mu.Unlock()
	s.record("run of %s number %d begins on %s (%s), fence %d", r.task, r.number, w.machine, l.id, c.Fence)
}

func (s *sim) runEnded(w *worker, r *runState, how string) {
	s.mu.Lock()
	s.live[r.task]--
	if s.ends[r.task] == nil {
		s.ends[r.task] = make(map[string]int)
	}
	s.ends[r.task][how]++
	s.lastEnd[r.task] = time.Now()
	s.mu.Unlock()
	s.record("run of %s number %d ends on %s: %s", r.task, r.number, w.machine, how)
}

func (s *sim) isLive(task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[task] > 0
}

func (s *sim) endsOf(task, how string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends[task][how]
}

// addWorkers starts workers with a capacity.
func (s *sim) addWorkers(count int, service string, capacity resources) error {
	for i := range count {
		w := &worker{
			sim: s, machine: fmt.Sprintf("m-%d", len(s.workers)+1), service: service, address: fmt.Sprintf("%s.%d:8367", s.subnet, 100+len(s.workers)),
			labels: []string{"a", fmt.Sprintf("r1-%d", i/8)}, capacity: capacity, holdMax: 6 * time.Second, stopTime: 900 * time.Millisecond,
		}
		if err := w.start(newWorkerID()); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

func newWorkerID() string { return fmt.Sprintf("i-%010x", rand.Int64N(1<<40)) }

// beat writes the entries of the workers until the play ends.
func (s *sim) beat() {
	for range time.Tick(heartbeat) {
		for _, w := range s.workers {
			w.report()
		}
	}
}

// vm is one machine with one process.
type vm struct {
	sim  *sim
	name string
	ip   string

	mu       sync.Mutex
	process  *exec.Cmd
	stopping bool
	// held is set while the machine has no power.
	held bool
	// exits counts the ends of its process that the play did not cause; killed those over the memory limit.
	exits, killed int
	mostRSS       int64
}

func (s *sim) startVMs(count int) error {
	address := s.subnet + ".1:8169"
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s.store}).Serve(listener) }()
	for i := range count {
		v := &vm{sim: s, name: fmt.Sprintf("front-zurich-a-%d", i+1), ip: fmt.Sprintf("%s.%d", s.subnet, 11+i)}
		s.vms = append(s.vms, v)
		if err := v.writeSettings(address); err != nil {
			return err
		}
		go v.supervise()
	}
	go s.watchMemory()
	return nil
}

func (v *vm) settingsPath() string { return filepath.Join(v.sim.dir, v.name+".conf") }

func (v *vm) writeSettings(storeAddress string) error {
	text := fmt.Sprintf(`node=%s
role=entry
machine_class=front
serves=front
ip=%[2]s
zone=zurich-a
region=zurich
zones.zurich-a=zurich
listen.front=%[2]s:8161
listen.ready=%[2]s:8167
internal_ports=7720,7735
seeds=
bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%[3]d
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
tolerate.machines=2
tolerate.zones=0
tolerate.regions=0
%[4]sorders=call
platform.address=%[5]s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.txn_ms=3.0
platform.part_writes_s=300
platform.row_bytes=65536
platform.across=true
platform.history_s=20
`, v.name, v.ip, memoryMB, bounds, storeAddress)
	return os.WriteFile(v.settingsPath(), []byte(text), 0o600)
}

// supervise runs the process, and starts it again a second after it has ended.
func (v *vm) supervise() {
	for {
		log, err := os.OpenFile(filepath.Join(v.sim.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		process := exec.Command(v.sim.command[0], v.sim.command[1:]...)
		process.Env = []string{"PATH=" + os.Getenv("PATH"), "TANAGERSTACK_SETTINGS=" + v.settingsPath()}
		process.Stdout, process.Stderr = log, log
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		v.mu.Lock()
		if v.stopping {
			v.mu.Unlock()
			return
		}
		if v.held {
			v.mu.Unlock()
			_ = log.Close()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		err = process.Start()
		v.process = process
		v.mu.Unlock()
		if err != nil {
			panic(err)
		}
		v.sim.record("%s starts, process %d", v.name, process.Process.Pid)
		err = process.Wait()
		_ = log.Close()
		v.sim.record("%s ends: %v", v.name, err)
		v.mu.Lock()
		v.process = nil
		v.exits++
		v.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(signal)
	}
}

// hold kills the process and starts no other before release.
func (v *vm) hold() {
	v.mu.Lock()
	v.held = true
	v.mu.Unlock()
	v.signal(syscall.SIGKILL)
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.held = false
}

func (v *vm) stop() {
	v.mu.Lock()
	v.stopping = true
	v.mu.Unlock()
	v.signal(syscall.SIGKILL)
}

// rss returns the resident memory of a process in bytes.
func rss(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform does.
func (s *sim) watchMemory() {
	for range time.Tick(100 * time.Millisecond) {
		for _, v := range s.vms {
			v.mu.Lock()
			if v.process != nil {
				used := rss(v.process.Process.Pid)
				v.mostRSS = max(v.mostRSS, used)
				if used > memoryMB*1_000_000 {
					v.killed++
					_ = v.process.Process.Kill()
					go s.record("%s is killed: it uses %d MB of %d", v.name, used/1_000_000, memoryMB)
				}
			}
			v.mu.Unlock()
		}
	}
}

// leader returns the machine that the leader row names.
func (s *sim) leader() *vm {
	for _, r := range s.store.rowsOf("leader") {
		var holder struct {
			Holder string `json:"holder"`
		}
		if r.Key == "cell" && json.Unmarshal(r.Value, &holder) == nil {
			for _, v := range s.vms {
				if v.name == holder.Holder {
					return v
				}
			}
		}
	}
	return nil
}

// stopAll ends all processes and waits until they have ended.
func (s *sim) stopAll() {
	for _, v := range s.vms {
		v.stop()
	}
	for _, v := range s.vms {
		for v.isRunning() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (v *vm) isRunning() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil
}

// host and prefix are those of the only queue.
const (
	host   = "novo13.example"
	prefix = "/gono990/"
)

// queue returns a route of the config.
func queue(name, path string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": path, "service": "booking", "timeout_ms": 3000, "slo_ms": 1200, "priority": priority,
		"attempts": attempts, "stretch": 2.2,
	}
}

func (s *sim) putConfig(routes ...map[string]any) {
	s.store.put("op", "config", map[string]any{
		"version": 3, "routes": routes, "services": []any{map[string]any{"name": "booking", "enforces_capacity": false}},
		"limits": map[string]any{"max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a request of a client to a machine. The status is 0 if there is no answer.
func (s *sim) call(v *vm, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+v.ip+":8161"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Tanagerstack-Timeout-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// anyVM returns a machine as the balancer chooses one: any that is ready, else any.
func (s *sim) anyVM() *vm {
	for range 10 {
		v := s.vms[rand.IntN(len(s.vms))]
		if response, err := client.Get("http://" + v.ip + ":8167/api/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return v
			}
		}
	}
	return s.vms[rand.IntN(len(s.vms))]
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a submission in, with a client's retries, and reports whether it was accepted.
func (s *sim) submit(path, id, body string) bool {
	for try := range 5 {
		v := s.anyVM()
		code, text := s.call(v, http.MethodPost, path+id, body)
		s.record("POST %s%s to %s: %d %s", path, id, v.name, code, strings.TrimSpace(text))
		if code == http.StatusOK {
			return true
		}
		time.Sleep(time.Duration(try+1) * 500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission; it is empty if no machine answers with one.
func (s *sim) state(path, id string) (int, string) {
	code := 0
	for range 4 {
		var text string
		code, text = s.call(s.anyVM(), http.MethodGet, path+id, "")
		var reply struct {
			State string `json:"state"`
		}
		if code == http.StatusOK && json.Unmarshal([]byte(text), &reply) == nil {
			s.record("GET %s%s: %d %s", path, id, code, reply.State)
			return code, reply.State
		}
		if code == http.StatusGone {
			return code, ""
		}
		s.record("GET %s%s: %d %s", path, id, code, strings.TrimSpace(text))
		time.Sleep(300 * time.Millisecond)
	}
	return code, ""
}

// awaitReady waits until all machines are ready.
func (s *sim) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range s.vms {
			if response, err := client.Get("http://" + v.ip + ":8167/api/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.vms) {
			s.record("all %d machines are ready", ready)
			return true
		}
	}
	return false
}

// awaitRun returns the worker that runs a task, or nil if none does within a time.
func (s *sim) awaitRun(task string, limit time.Duration) *worker {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, w := range s.workers {
			if slices.Contains(w.runs(), task) {
				return w
			}
		}
	}
	return nil
}
