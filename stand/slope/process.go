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

// clockTick is the unit of processor time in /proc, which is the same on all
// machines that Go supports.
const clockTick = 10 * time.Millisecond

// Process is a running process to watch.
type Process struct {
	PID int
	// Debug is the address of its /debug/vars; not asked if it is not valid.
	DebugAddress netip.AddrPort
}

// counters are readings that only grow, and the memory at the time.
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
	// Reads and writes of TCP sockets go through these calls; QUIC's do not.
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

// readStat reads the processor time.
func (p Process) readProcessorTime(c *counters) error {
	data, err := os.ReadFile(p.path("stat"))
	if err != nil {
		return err
	}
	// The name of the program stands in parentheses and may hold spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return fmt.Errorf("%s has %d fields", p.path("stat"), len(fields))
	}
	var ticks int64
	for _, i := range []int{userField, systemField} {
		value, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", p.path("stat"), err)
		}
		ticks += value
	}
	c.processor = time.Duration(ticks) * clockTick
	return nil
}

// readFields reads a file of lines such as "VmRSS:  123 kB".
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

// vars are the metrics of an entry VM that are of use here.
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
		return fmt.Errorf("metrics of %s: %w", p.DebugAddress, err)
	}
	c.peerBytes, c.storeCommits, c.storeReads = v.Peer.Bytes, v.Store.Commits, v.Store.Reads+v.Store.Scans
	return nil
}
