package cell

import "github.com/prometheus/client_golang/prometheus"

var (
	predictionErrorDesc = prometheus.NewDesc("tanager_prediction_error_factor", "Mean ratio between actual and predicted durations of the queue's last tasks, the greater over the smaller one.", []string{"queue"}, nil)
	predictionBiasDesc  = prometheus.NewDesc("tanager_prediction_bias_factor", "Mean ratio of actual to predicted durations of the queue's last tasks.", []string{"queue"}, nil)
	observationsDesc    = prometheus.NewDesc("tanager_duration_observations_total", "Runs that durations were learned from, and those that were dropped.", []string{"outcome"}, nil)
)

// collectDurations collects how well durations are predicted. The caller holds l.mu.
func (l *leader) collectDurations(out chan<- prometheus.Metric) {
	for _, p := range l.engine.PredictionErrors() {
		out <- prometheus.MustNewConstMetric(predictionErrorDesc, prometheus.GaugeValue, p.Factor, p.Queue)
		out <- prometheus.MustNewConstMetric(predictionBiasDesc, prometheus.GaugeValue, p.Bias, p.Queue)
	}
	model := l.engine.Learned()
	if model == nil {
		return
	}
	counts := model.Counts()
	for outcome, count := range map[string]int64{"ended": counts.Ended, "lower-bound": counts.Censored, "out-of-range": counts.OutOfRange, "clock-jump": counts.ClockJumps} {
		out <- prometheus.MustNewConstMetric(observationsDesc, prometheus.CounterValue, float64(count), outcome)
	}
}
