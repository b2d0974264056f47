package slope_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"tanagerstack.org/stand/slope"
)

func ExampleFit() {
	points := []slope.Point{
		{Role: "policy", Size: 10, Usage: slope.Usage{"cpu-percent": 0.3}},
		{Role: "policy", Size: 20, Usage: slope.Usage{"cpu-percent": 0.4}},
		{Role: "policy", Size: 30, Usage: slope.Usage{"cpu-percent": 0.5}},
		{Role: "other", Size: 30, Usage: slope.Usage{"cpu-percent": 99}},
	}
	line, err := slope.Fit(points, "policy", "cpu-percent")
	fmt.Printf("%.2f + %.2f a unit, %.2f at 92, %v\n", line.Intercept, line.Slope, line.At(92), err)
	// Output: 0.20 + 0.01 a unit, 1.12 at 92, <nil>
}

// TestWatchCountsProcessorTime measures the test process while it keeps a processor busy.
func TestWatchCountsProcessorTime(t *testing.T) {
	ctx := t.Context()
	stop := time.Now().Add(300 * time.Millisecond)
	go (&busyLoop{until: stop}).run()
	usages, err := slope.Watch(ctx, []slope.Process{{PID: os.Getpid()}}, 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if usages[0]["cpu-percent"] <= 0 || usages[0]["memory-mb"] <= 1 {
		t.Errorf("usage of a busy process = %v, want more than 0%% CPU and 1 MB", usages[0])
	}
	if _, err := slope.Watch(ctx, []slope.Process{{PID: -1}}, 0); err == nil {
		t.Error("Watch of a process that does not exist returned no error")
	}
}

type busyLoop struct{ until time.Time }

func (s *busyLoop) run() {
	for time.Now().Before(s.until) {
	}
}
