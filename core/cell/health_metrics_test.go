package cell

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"tanagerstack.org/core/engine"
)

// healthCollector collects the metrics of a fixed list of workers.
type healthCollector []engine.WithheldWorker

func (c healthCollector) Describe(chan<- *prometheus.Desc)     {}
func (c healthCollector) Collect(out chan<- prometheus.Metric) { collectHealth(out, c, 5) }

// TestHealthMetrics guards against workers on probation that count as withheld, and against a reason
// that disappears from the metrics when it counts nobody.
func TestHealthMetrics(t *testing.T) {
	list := healthCollector{
		{ID: "w1", Reason: engine.WithheldForFailures}, {ID: "w2", Reason: engine.WithheldForFailures},
		{ID: "w3", Reason: engine.WithheldForFlapping, Probation: true},
	}
	want := `
# HELP tanager_withheld_workers Workers that get no new work, or on probation little, because of their health.
# TYPE tanager_withheld_workers gauge
tanager_withheld_workers{reason="failures",stage="withheld"} 2
tanager_withheld_workers{reason="flapping",stage="probation"} 1
tanager_withheld_workers{reason="flapping",stage="withheld"} 0
tanager_withheld_workers{reason="quarantine",stage="withheld"} 0
tanager_withheld_workers{reason="unanswered",stage="withheld"} 0
# HELP tanager_worker_withholdings_total How often a worker was withheld because of its grade, as the leader of this epoch has seen them.
# TYPE tanager_worker_withholdings_total counter
tanager_worker_withholdings_total 5
`
	if err := testutil.CollectAndCompare(list, strings.NewReader(want)); err != nil {
		t.Error(err)
	}
}
