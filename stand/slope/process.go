package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc. It is the same on all platforms that Go supports.
const clockTick = 10 * time.Millisecond

// Process is a running process to measure.
type Process struct {
	PID int
	// DebugAddress serves /debug/vars of the process. Metrics are not read if it is the zero value.
	DebugAddress netip.AddrPort
}

// counters holds cumulative counters of a process and its resident memory at time readAt.
type counters struct {
	readAt       time.Time
	processor    time.Duration
	residentKB   int64
	tcpBytes     int64
	peerBytes    int64
	storeReads   int64
	storeCommits int64
}

func (p Process) readCounters(ctx context.Context) (counters, error) {
	c := counters{readAt: time.Now()}
	if err := p.readProcessorTime(&c); err != nil {
		return c, err
	}
	fields, err := p.readFields("status")
	if err != nil {
		return c, err
	}
	c.residentKB = fields["VmRSS"]
	// These counters include reads and writes of TCP sockets, but not QUIC traffic, which uses other
	// system calls.
	fields, err = p.readFields("io")
	if err != nil {
		return c, err
	}
	c.tcpBytes = fields["rchar"] + fields["wchar"]
	if p.DebugAddress.IsValid() {
		err = p.readDebugVars(ctx, &c)
	}
	return c, err
}

// readProcessorTime reads the user and system time from /proc/PID/stat.
func (p Process) readProcessorTime(c *counters) error {
	data, err := os.ReadFile(p.path("stat"))
	if err != nil {
		return err
	}
	// The program name is in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return fmt.Errorf("%s has only %d fields after the program name", p.path("stat"), len(fields))
	}
	var ticks int64
	for _, i := range []int{userField, systemField} {
		value, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return fmt.Errorf("parsing %s: %w", p.path("stat"), err)
		}
		ticks += value
	}
	c.processor = time.Duration(ticks) * clockTick
	return nil
}

// readFields reads the numbers in a /proc file with lines such as "VmRSS:  123 kB".
func (p Process) readFields(name string) (map[string]int64, error) {
	data, err := os.ReadFile(p.path(name))
	if err != nil {
		return nil, err
	}
	fields := make(map[string]int64)
	for _, line := range strings.Split(string(data), "\n") {
		key, value, _ := strings.Cut(line, ":")
		number, _, _ := strings.Cut(strings.TrimSpace(value), " ")
		if parsed, err := strconv.ParseInt(number, 10, 64); err == nil {
			fields[key] = parsed
		}
	}
	return fields, nil
}

func (p Process) path(name string) string { return fmt.Sprintf("/proc/%d/%s", p.PID, name) }

// debugVars are the metrics of an entry VM that counters needs.
type debugVars struct {
	Peer struct {
		Bytes int64 `json:"bytes"`
	} `json:"peer"`
	Store struct {
		Commits int64 `json:"commits"`
		Reads   int64 `json:"reads"`
		Scans   int64 `json:"scans"`
	} `json:"store"`
}

func (p Process) readDebugVars(ctx context.Context, c *counters) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.DebugAddress.String()+"/debug/vars", http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	var v debugVars
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("decoding metrics of %s: %w", p.DebugAddress, err)
	}
	c.peerBytes, c.storeCommits, c.storeReads = v.Peer.Bytes, v.Store.Commits, v.Store.Reads+v.Store.Scans
	return nil
}
