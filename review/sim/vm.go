package sim

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// MemoryMB is what a machine of a small deployment has.
const MemoryMB = 284

// restartDelay is the time after which the platform restarts a process that ended.
const restartDelay = 500 * time.Millisecond

// VM is one machine that runs tanager-platform.
type VM struct {
	Name     string
	IP       string
	Front    string
	Ready    string
	record   *Record
	dir      string
	settings string
	command  []string

	mu          sync.Mutex
	process     *os.Process
	stopping    bool
	exited      chan struct{}
	memoryKills int
}

// Cell is the machines of a small deployment.
type Cell struct {
	VMs    []*VM
	dir    string
	record *Record
}

// NewCell starts machines that use a store.
func NewCell(record *Record, count int, store string, maxHoldMS int) (*Cell, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &Cell{dir: dir, record: record}
	// A net of its own for each run, so that runs beside each other do not meet.
	prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range count {
		vm := &VM{Name: fmt.Sprintf("front-%d", i+1), IP: prefix + strconv.Itoa(i+11), record: record, dir: dir, command: command}
		ports, err := freePorts(vm.IP, 3)
		if err != nil {
			return nil, err
		}
		vm.Front, vm.Ready = fmt.Sprintf("%s:%d", vm.IP, ports[0]), fmt.Sprintf("%s:%d", vm.IP, ports[1])
		vm.settings = filepath.Join(dir, vm.Name+".conf")
		lines := []string{
			"node=" + vm.Name, "role=entry", "machine_class=front", "serves=front", "ip=" + vm.IP, "zone=zone-a", "region=region-a",
			"zones.zone-a=region-a", "listen.front=" + vm.Front, "listen.ready=" + vm.Ready,
			fmt.Sprintf("internal_ports=%d,%d", ports[2], ports[2]+15), "bootstrap=true", "loss_counts=false",
			"limits.cpu_share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", MemoryMB), "limits.max_fds=4100",
			"discovery=platform", "entry=vip", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,platform",
			"bounds.stability_ms=4000", "bounds.ack_ms=5000", "bounds.grace_s=6", "bounds.config_apply_ms=2500",
			fmt.Sprintf("bounds.hold_max_ms=%d", maxHoldMS), "bounds.stop_ms=400", "bounds.cancel_ms=3000", "bounds.finish_s=14",
			"orders=call", "platform.address=" + store, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000",
			"platform.txn_ms=3.0", "platform.part_writes_s=300", fmt.Sprintf("platform.row_bytes=%d", RowBytes), "platform.across=true",
			"platform.history_s=20",
		}
		if err := os.WriteFile(vm.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
		c.VMs = append(c.VMs, vm)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		c.Close()
		record.Close()
		os.Exit(2)
	}()
	for _, vm := range c.VMs {
		if err := vm.Start(); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// freePorts returns ports of an address on which nothing listens. The last one begins a range.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// deployCommand returns the command of the deploy file's role.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no command")
}

// Start starts the process.
func (v *VM) Start() error {
	log, err := os.OpenFile(filepath.Join(v.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(v.command[0], v.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.dir, "LANG=C.UTF-8", "TANAGERSTACK_SETTINGS=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.process, v.exited = cmd.Process, make(chan struct{})
	exited := v.exited
	v.mu.Unlock()
	v.record.Line("%s started", v.Name)
	go func() {
		err := cmd.Wait()
		close(exited)
		v.mu.Lock()
		v.process = nil
		stopping := v.stopping
		v.mu.Unlock()
		if stopping {
			return
		}
		v.record.Say("%s ended: %v; it is started again", v.Name, err)
		time.Sleep(restartDelay)
		v.mu.Lock()
		stopping = v.stopping
		v.mu.Unlock()
		if !stopping {
			_ = v.Start()
		}
	}()
	return nil
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Signal(s)
	}
}

// CountMemoryKill counts a kill for memory.
func (v *VM) CountMemoryKill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.memoryKills++
}

// MemoryKills returns the number of kills for memory.
func (v *VM) MemoryKills() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.memoryKills
}

// Memory returns the resident memory of the process in bytes.
func (v *VM) Memory() int64 {
	v.mu.Lock()
	process := v.process
	v.mu.Unlock()
	if process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Close kills all processes and removes the folder of the run. With KEEP set, the logs stay.
func (c *Cell) Close() {
	for _, vm := range c.VMs {
		vm.mu.Lock()
		vm.stopping = true
		process, exited := vm.process, vm.exited
		vm.mu.Unlock()
		if process != nil {
			_ = process.Signal(syscall.SIGCONT)
			_ = process.Kill()
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

// AwaitReady waits until all machines answer their readiness check with 200.
func (c *Cell) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := 0
		for _, vm := range c.VMs {
			if vm.IsReady() {
				ready++
			}
		}
		if ready == len(c.VMs) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the machines are not ready")
}

var probe = &http.Client{Timeout: time.Second}

// IsReady reports whether the machine answers its readiness check with 200.
func (v *VM) IsReady() bool {
	response, err := probe.Get("http://" + v.Ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Host and prefix of the queue that the cases use.
const Host = "review.example"

// Client sends a caller's requests.
type Client struct {
	Record *Record
	http   http.Client
}

// NewClient returns a client.
func NewClient(record *Record) *Client {
	return &Client{Record: record, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Do sends a request with a time limit and returns the status and the body. The status is 0 if
// there was no answer.
func (c *Client) Do(vm *VM, method, path, body string, limit time.Duration) (int, string) {
	request, err := http.NewRequest(method, "http://"+vm.Front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = Host
	request.Header.Set("Tanagerstack-Timeout-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Transport: c.http.Transport, Timeout: limit}
	response, err := client.Do(request)
	if err != nil {
		c.Record.Line("client: %s %s at %s: no answer: %v", method, path, vm.Name, err)
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.Record.Line("client: %s %s at %s: incomplete answer: %v", method, path, vm.Name, err)
		return 0, ""
	}
	c.Record.Line("client: %s %s at %s: %d %s", method, path, vm.Name, response.StatusCode, strings.TrimSpace(string(data)))
	return response.StatusCode, string(data)
}

// Submit sends a submission until it is accepted, to one machine after the other, with the same
// ID, at most five times. It reports whether it was accepted.
func (c *Client) Submit(vms []*VM, first int, path, body string) bool {
	for i := range 5 {
		status, _ := c.Do(vms[(first+i)%len(vms)], http.MethodPost, path, body, 3*time.Second)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// Config writes a configuration with one queue, "/q/".
func (s *Store) Config(version, attempts int) {
	s.Put("op", "config", map[string]any{
		"version": version, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": "svc", "enforces_capacity": false}},
		"routes": []map[string]any{{
			"name": "q", "host": Host, "prefix": "/q/", "service": "svc", "timeout_ms": 3000, "priority": 1, "attempts": attempts,
			"stretch": 4, "slo_ms": 3000,
		}},
	})
}

// Leader returns the machine that the leader row names, or nil. The row is the product's own
// format: it only serves to choose the machine that a disruption hits.
func (c *Cell) Leader(s *Store) *VM {
	text := string(s.Get("leader", "leader", "cell"))
	for _, vm := range c.VMs {
		if strings.Contains(text, `"holder":"`+vm.Name+`"`) {
			return vm
		}
	}
	return nil
}

// JobID returns the ID of a job as 16 hexadecimal digits.
func JobID(run uint32, n int) string { return fmt.Sprintf("%08x%08x", run, n) }
