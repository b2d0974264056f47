package guard

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// GoMemoryShare is the memory limit of the Go runtime as a fraction of the VM's memory. The rest is
// for stacks, kernel buffers and what the runtime exceeds its limit by.
const GoMemoryShare = 0.6

const (
	// fallbackMemoryBytes and fallbackDescriptors apply if the system does not tell its own.
	fallbackMemoryBytes = 512_000_000
	fallbackDescriptors = 1024

	cgroupMemoryFile = "/sys/fs/cgroup/memory.max"
	memoryFile       = "/proc/meminfo"
)

// Limits are those of the process. A limit of 0 is the machine's.
type Limits struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that the process may open.
	Descriptors int
}

// WithDefaults returns the limits with those of the machine in place of zeros.
func (l Limits) WithDefaults() Limits {
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = machineMemory()
	}
	if l.Descriptors <= 0 {
		l.Descriptors = machineDescriptors()
	}
	return l
}

// machineMemory returns the memory of the machine in bytes, or that of the process's control group
// if it is less.
func machineMemory() int64 {
	total := int64(0)
	if file, err := os.Open(memoryFile); err == nil {
		for lines := bufio.NewScanner(file); lines.Scan(); {
			if words := strings.Fields(lines.Text()); len(words) > 1 && words[0] == "MemTotal:" {
				kilobytes, _ := strconv.ParseInt(words[1], 10, 64)
				total = kilobytes << 10
				break
			}
		}
		_ = file.Close()
	}
	if text, err := os.ReadFile(cgroupMemoryFile); err == nil {
		// A group without a limit has the text "max".
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && (total == 0 || limit < total) {
			total = limit
		}
	}
	if total <= 0 {
		return fallbackMemoryBytes
	}
	return total
}

func machineDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return fallbackDescriptors
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}
