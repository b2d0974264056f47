package cell

import (
	"github.com/prometheus/client_golang/prometheus"

	"tanagerstack.org/core/engine"
)

var (
	withheldWorkersDesc = prometheus.NewDesc("tanager_withheld_workers", "Workers that get no new work, or on probation little, because of their health.", []string{"reason", "stage"}, nil)
	withholdingsDesc    = prometheus.NewDesc("tanager_worker_withholdings_total", "How often a worker was withheld because of its grade, as the leader of this epoch has seen them.", nil, nil)
)

// collectHealth collects the withheld workers by reason and stage.
func collectHealth(out chan<- prometheus.Metric, workers []engine.WithheldWorker, total int64) {
	counts := make(map[[2]string]int)
	for _, reason := range engine.WithholdReasons {
		counts[[2]string{string(reason), "withheld"}] = 0
	}
	for _, w := range workers {
		stage := "withheld"
		if w.Probation {
			stage = "probation"
		}
		counts[[2]string{string(w.Reason), stage}]++
	}
	for labels, count := range counts {
		out <- prometheus.MustNewConstMetric(withheldWorkersDesc, prometheus.GaugeValue, float64(count), labels[0], labels[1])
	}
	out <- prometheus.MustNewConstMetric(withholdingsDesc, prometheus.CounterValue, float64(total))
}
