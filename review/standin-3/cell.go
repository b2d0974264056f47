package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Host and prefix of the one queue.
const (
	queueHost   = "queue.example"
	queuePrefix = "/q/"
)

// Cell is a small deployment: stand-ins of the store and of executors, and VMs as processes.
type Cell struct {
	Root, Dir string
	Net       string
	Store     *Store
	Executors []*Executor
	VMs       []*VM

	mu     sync.Mutex
	record *os.File
	began  time.Time
	Events []Event
}

// VM is a process of the system.
type VM struct {
	Name, IP, Zone string
	cell           *Cell
	path, log      string
	cmd            *exec.Cmd
	done           chan struct{}
	MemoryMB       int
}

// NewCell makes a cell with executors, and VMs that are not started yet.
func NewCell(root string, record *os.File, vms, executors, cpu int) (*Cell, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &Cell{Root: root, Dir: dir, record: record, began: time.Now(), Store: NewStore()}
	c.Net = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
	l, err := net.Listen("tcp", c.Net+"250:0")
	if err != nil {
		return nil, err
	}
	go c.Store.Serve(l)
	storeAddress := l.Addr().String()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range executors {
		e := &Executor{
			ID: fmt.Sprintf("i-%06x%02x", rand.IntN(1<<24), i), Zone: zones[i%3], Rack: fmt.Sprintf("r%d-%d", i%3, i/24), CPU: cpu, MemMB: 65536,
			Service: "svc", store: c.Store, record: c.note, workTime: workOf,
		}
		l, err := net.Listen("tcp", c.Net+"200:0")
		if err != nil {
			return nil, err
		}
		e.Address = l.Addr().String()
		_ = l.Close()
		if err := e.Boot(); err != nil {
			return nil, err
		}
		c.Executors = append(c.Executors, e)
	}
	c.PutConfig(1)
	for i := range vms {
		vm := &VM{Name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), IP: c.Net + strconv.Itoa(i+1), Zone: zones[i%3], cell: c, MemoryMB: 284}
		vm.path, vm.log = filepath.Join(dir, vm.Name+".conf"), filepath.Join(dir, vm.Name+".log")
		if err := vm.writeSettings(storeAddress); err != nil {
			return nil, err
		}
		c.VMs = append(c.VMs, vm)
	}
	return c, nil
}

// PutConfig writes a version of the configuration with one queue without advice.
func (c *Cell) PutConfig(version int) {
	c.Store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-queue", "host": queueHost, "prefix": queuePrefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 1200, "priority": 1,
			"service": "svc", "attempts": 2, "stretch": 2.2,
		}},
		"services": []any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func (v *VM) writeSettings(store string) error {
	lines := []string{
		"node=" + v.Name, "role=entry", "machine_class=front", "serves=front", "ip=" + v.IP, "zone=" + v.Zone, "region=" + v.Zone,
		"zones.zone-a=zone-a", "zones.zone-b=zone-b", "zones.zone-c=zone-c",
		"listen.front=" + v.IP + ":8161", "listen.ready=" + v.IP + ":8167", "internal_ports=7720,7735", "bootstrap=true", "loss_counts=false",
		"limits.cpu_share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", v.MemoryMB), "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"tolerate.machines=2", "tolerate.zones=0", "tolerate.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stability_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4", "bounds.drain_ms=2500",
		"bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2500", "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=6000",
		"bounds.recovery_s=12", "bounds.hold_max_ms=6000", "bounds.stop_ms=900", "bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far_x=2", "bounds.checkpoint_s=2", "bounds.restore_ms=250",
		"bounds.notice_ms=5500", "bounds.require_fence=false", "bounds.lease_ms=3000",
		"orders=call", "platform.address=" + store, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.txn_ms=3.0",
		"platform.part_writes_s=300", "platform.row_bytes=65536", "platform.across=true", "platform.history_s=20",
	}
	return os.WriteFile(v.path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// Start starts the VM's process by the command of the deploy file.
func (v *VM) Start() error {
	command, err := runCommand(v.cell.Root)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	words := strings.Fields(command)
	v.cmd = exec.Command(filepath.Join(v.cell.Root, words[0]), words[1:]...)
	v.cmd.Dir = v.cell.Root
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TANAGERSTACK_SETTINGS=" + v.path}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(v.cmd, v.done)
	return nil
}

// runCommand returns the command of the role in the deploy file.
func runCommand(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(rest, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy file has no run line")
}

// Alive reports whether the process runs.
func (v *VM) Alive() bool {
	select {
	case <-v.done:
		return false
	default:
		return v.cmd != nil
	}
}

// Ended describes how the process ended.
func (v *VM) Ended() string {
	if v.Alive() {
		return "runs"
	}
	return v.cmd.ProcessState.String()
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// ResidentMB returns the resident memory of the process in units of 1,000,000 bytes.
func (v *VM) ResidentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

// Leader returns the VM that the leader row names, or nil.
func (c *Cell) Leader() *VM {
	row, ok := c.Store.Get("leader", "leader", "cell")
	if !ok {
		return nil
	}
	var leader struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(row.Value, &leader)
	for _, vm := range c.VMs {
		if vm.Name == leader.Holder {
			return vm
		}
	}
	return nil
}

// StartAll starts all VMs and waits until each is ready.
func (c *Cell) StartAll() error {
	for _, vm := range c.VMs {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	for _, vm := range c.VMs {
		if !c.Await(10*time.Second, vm.Ready) {
			return fmt.Errorf("%s is not ready", vm.Name)
		}
	}
	if !c.Await(10*time.Second, func() bool { return c.Leader() != nil }) {
		return fmt.Errorf("no leader")
	}
	c.Log("leader is %s", c.Leader().Name)
	return nil
}

// Await waits for a condition.
func (c *Cell) Await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Ready asks the VM as the platform does each second.
func (v *VM) Ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.IP + ":8167/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Call makes a client's call. The status is 0 without an answer.
func (v *VM) Call(method, id string, body []byte, timeout time.Duration) (int, string) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := http.Client{Timeout: timeout, Transport: transport}
	request, err := http.NewRequest(method, "http://"+v.IP+":8161"+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Tanagerstack-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	answer, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	data, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(data)
}

// NewID returns a new ID of a submission.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Log writes a line to the record.
func (c *Cell) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f "+format, append([]any{time.Since(c.began).Seconds()}, args...)...)
	_, _ = fmt.Fprintln(c.record, line)
	fmt.Println(line)
}

// note records what an executor did.
func (c *Cell) note(ev Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Events = append(c.Events, ev)
	_, _ = fmt.Fprintf(c.record, "%8.3f %s %s run %d: %s\n", ev.At.Sub(c.began).Seconds(), ev.Executor, ev.Task, ev.Run, ev.What)
}

// Find returns the events of a submission.
func (c *Cell) Find(id string) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Event
	for _, ev := range c.Events {
		if strings.HasPrefix(ev.Task, id+".") {
			list = append(list, ev)
		}
	}
	return list
}

// Close ends all processes and removes the temporary folder.
func (c *Cell) Close(keep bool) {
	for _, vm := range c.VMs {
		if vm.cmd != nil && vm.cmd.Process != nil {
			_ = vm.cmd.Process.Kill()
			<-vm.done
		}
	}
	if !keep {
		_ = os.RemoveAll(c.Dir)
	}
}
