package crowd

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the time between two samples of a watch.
const sampleInterval = 20 * time.Millisecond

// Usage is what a process uses.
type Usage struct {
	// Memory is the resident memory in bytes plus the bytes that were received on the address of
	// the watch and not read yet.
	Memory int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Watch samples what a process uses.
type Watch struct {
	pid     int
	address netip.AddrPort
	stop    chan struct{}
	done    chan struct{}
	peak    Usage
}

// StartWatch starts to sample a process that listens on an IPv4 address.
func StartWatch(pid int, address netip.AddrPort) *Watch {
	w := &Watch{pid: pid, address: address, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Watch) run() {
	defer close(w.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		now, err := Measure(w.pid, w.address)
		if err == nil {
			w.peak.Memory, w.peak.Descriptors = max(w.peak.Memory, now.Memory), max(w.peak.Descriptors, now.Descriptors)
		}
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// Stop ends the watch. It returns the highest figures; the memory is at least the peak that the
// kernel has recorded for the process.
func (w *Watch) Stop() (Usage, error) {
	close(w.stop)
	<-w.done
	recorded, err := statusBytes(w.pid, "VmHWM:")
	w.peak.Memory = max(w.peak.Memory, recorded)
	return w.peak, err
}

// Measure returns what a process uses at the moment. It fails if the process has ended.
func Measure(pid int, address netip.AddrPort) (Usage, error) {
	resident, err := statusBytes(pid, "VmRSS:")
	if err != nil {
		return Usage{}, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(address)
	return Usage{Memory: resident + unread, Descriptors: len(files)}, err
}

// statusBytes returns a field of /proc/PID/status, which has it in kilobytes.
func statusBytes(pid int, field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field {
			kilobytes, err := strconv.ParseInt(words[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no %s: it has ended", pid, field)
}

// unreadBytes returns the bytes in the receive queues of all connections to an IPv4 address.
func unreadBytes(address netip.AddrPort) (int64, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	const listening = "0A"
	ip := address.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), address.Port())
	var total int64
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 5 || words[1] != local || words[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(words[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return total, nil
}
