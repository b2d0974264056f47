package cell

import (
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/guard"
	"tanagerstack.org/core/store"
)

// latencyBuckets are the upper bounds of the histograms, in seconds: from an
// exchange within a failure domain to the longest that a caller waits.
var latencyBuckets = []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 3}

// metrics are the counters and histograms of a node.
type metrics struct {
	registry *prometheus.Registry
	// submits counts answers to submissions by outcome, cancels answers to cancellations.
	submits, cancels *prometheus.CounterVec
	// starts counts start commands by outcome.
	starts *prometheus.CounterVec
	// stops, polls and adviceRequests count calls by success.
	stops, polls, adviceRequests *prometheus.CounterVec
	// unreadable counts entries and rows of others that could not be decoded, by kind.
	unreadable *prometheus.CounterVec
	// learnedRows counts the rows of learned durations by what became of them.
	learnedRows *prometheus.CounterVec
	takeovers   prometheus.Counter
	// keyChecks counts checks of callers' keys by outcome.
	keyChecks *prometheus.CounterVec
	// refusals counts jobs refused for the load by reason, and those that were not refused because
	// an earlier attempt may have stored them.
	refusals *prometheus.CounterVec
	// Latencies, in seconds.
	submit, start, record, advice prometheus.Histogram
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry:       prometheus.NewRegistry(),
		submits:        newCounters("submissions_total", "Answers to submissions."),
		cancels:        newCounters("cancellations_total", "Answers to cancellations."),
		starts:         newCounters("starts_total", "Orders to start a run."),
		stops:          newCounters("stops_total", "Orders to stop a run."),
		polls:          newCounters("looks_total", "Looks at workers."),
		adviceRequests: newCounters("advice_questions_total", "Questions to the adviser."),
		unreadable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "tanager", Name: "unreadable_entries_total", Help: "Entries and rows written by others that cannot be decoded and are left out.",
		}, []string{"kind"}),
		learnedRows: newCounters("learned_rows_total", "Rows of learned durations that were read or written."),
		takeovers:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: "tanager", Name: "takeovers_total", Help: "Times that this VM became the leader."}),
		keyChecks:   newCounters("credential_checks_total", "Checks of callers' keys."),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "tanager", Name: "refused_jobs_total", Help: "Jobs refused for the load, by reason.",
		}, []string{"reason"}),
		submit: newHistogram("submission_seconds", "Time from a submission to its answer."),
		start:  newHistogram("start_seconds", "Time from an order to start to its answer."),
		record: newHistogram("record_seconds", "Time of a commit of progress."),
		advice: newHistogram("advice_seconds", "Time from a question to the adviser to its answer."),
	}
	m.registry.MustRegister(
		m.submits, m.cancels, m.starts, m.stops, m.polls, m.adviceRequests, m.unreadable, m.learnedRows, m.takeovers, m.keyChecks, m.refusals,
		m.submit, m.start, m.record, m.advice, nodeCollector{n},
	)
	m.registry.MustRegister(guardCollector{n.opts.Guard})
	if n.opts.Meter != nil {
		m.registry.MustRegister(n.opts.Meter)
	}
	return m
}

func newCounters(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "tanager", Name: name, Help: help}, []string{"outcome"})
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "tanager", Name: name, Help: help, Buckets: latencyBuckets})
}

// noteUnreadable counts and logs entries or rows that could not be decoded, if there are any. Kind is
// the kind of entry.
func (n *Node) noteUnreadable(kind, name string, count int, err error) {
	if count == 0 {
		return
	}
	n.metrics.unreadable.WithLabelValues(kind).Add(float64(count))
	n.opts.Logger.Warn("entry cannot be decoded and is left out", "kind", kind, "name", name, "count", count, "error", err)
}

// noteUnreadableRow counts and logs a row that could not be decoded.
func (n *Node) noteUnreadableRow(kind string, row store.Row, err error) {
	n.noteUnreadable(kind, row.Key, 1, fmt.Errorf("version %d: %w", row.Version, err))
}

// outcomeOf returns the outcome label of a call.
func outcomeOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

func observeSince(h prometheus.Histogram, began time.Time) { h.Observe(time.Since(began).Seconds()) }

// guardCollector collects the figures of the limits on clients.
type guardCollector struct{ guard *guard.Guard }

var (
	refusedDesc  = prometheus.NewDesc("tanager_refused_connections_total", "Connections and streams that were refused or closed, by reason.", []string{"reason"}, nil)
	bufferedDesc = prometheus.NewDesc("tanager_buffered_bytes", "Bytes taken of the byte budget for clients and peers.", nil, nil)
	budgetDesc   = prometheus.NewDesc("tanager_buffer_budget_bytes", "Byte budget for clients and peers.", nil, nil)
	openDesc     = prometheus.NewDesc("tanager_open_connections", "Open connections of clients and peers.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c guardCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{refusedDesc, bufferedDesc, budgetDesc, openDesc} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c guardCollector) Collect(out chan<- prometheus.Metric) {
	counts := c.guard.Counts()
	for reason, count := range counts.Refused {
		out <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(count), reason)
	}
	out <- prometheus.MustNewConstMetric(bufferedDesc, prometheus.GaugeValue, float64(counts.BufferedBytes))
	out <- prometheus.MustNewConstMetric(budgetDesc, prometheus.GaugeValue, float64(counts.BudgetBytes))
	out <- prometheus.MustNewConstMetric(openDesc, prometheus.GaugeValue, float64(counts.OpenConnections))
}

// MetricsHandler serves the node's metrics in the Prometheus text format.
func (n *Node) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})
}

// nodeCollector collects the counts that the node and its engine keep themselves.
type nodeCollector struct{ node *Node }

var (
	leadingDesc  = prometheus.NewDesc("tanager_leading", "1 while this VM is the leader.", nil, nil)
	epochDesc    = prometheus.NewDesc("tanager_epoch", "Epoch of the last known leader.", nil, nil)
	configDesc   = prometheus.NewDesc("tanager_config_version", "Version of the configuration in force.", nil, nil)
	pendingDesc  = prometheus.NewDesc("tanager_pending_jobs", "Accepted jobs that have not begun.", []string{"queue"}, nil)
	storeDesc    = prometheus.NewDesc("tanager_store_calls_total", "Calls to the store.", []string{"kind"}, nil)
	relaysDesc   = prometheus.NewDesc("tanager_open_relays", "Relays that the leader sends orders through.", nil, nil)
	termDesc     = prometheus.NewDesc("tanager_leadership_proof_age_seconds", "Age of the leader's last proof that no other VM leads.", nil, nil)
	outdatedDesc = prometheus.NewDesc("tanager_outdated_workers", "Workers that get no runs because their entries in the directory are too old.", nil, nil)
	crashesDesc  = prometheus.NewDesc("tanager_task_crashes_total", "Crashes of workers under tasks, those of them that were withdrawn, and jobs that were given up, as the leader of this epoch has seen them.", []string{"outcome"}, nil)
	proofDesc    = prometheus.NewDesc("tanager_config_proof_age_seconds", "Age of the latest proof that the configuration in force is the newest, in a cell with organizations.", nil, nil)
	wasteDesc    = prometheus.NewDesc("tanager_wasted_core_seconds_total", "Core-seconds of runs that were of no use, as the leader of this epoch has seen them.", []string{"cause"}, nil)
	endsDesc     = prometheus.NewDesc("tanager_run_ends_total", "Ends of runs, as the leader of this epoch has seen them.", []string{"end"}, nil)
)

// Describe implements prometheus.Collector.
func (c nodeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		leadingDesc, epochDesc, configDesc, proofDesc, pendingDesc, storeDesc, relaysDesc, termDesc, outdatedDesc, endsDesc, crashesDesc, wasteDesc,
		organizationUsageDesc, organizationCapDesc, organizationWaitingDesc, predictionErrorDesc, predictionBiasDesc, observationsDesc,
		withheldWorkersDesc, withholdingsDesc,
	} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c nodeCollector) Collect(out chan<- prometheus.Metric) {
	stats := c.node.opts.Store.Stats()
	calls := map[string]int64{
		"commit": stats.Commits.Load(), "read": stats.Reads.Load(), "scan": stats.Scans.Load(),
		"watch": stats.Watches.Load(), "failed": stats.Failures.Load(), "rejected": stats.Rejected.Load(),
	}
	for kind, count := range calls {
		out <- prometheus.MustNewConstMetric(storeDesc, prometheus.CounterValue, float64(count), kind)
	}
	out <- prometheus.MustNewConstMetric(epochDesc, prometheus.GaugeValue, float64(c.node.elector.current().Epoch))
	if config := c.node.Config(); config != nil {
		out <- prometheus.MustNewConstMetric(configDesc, prometheus.GaugeValue, float64(config.Version))
	}
	if view := c.node.ConfigView(); view.Config.HasOrganizations() {
		out <- prometheus.MustNewConstMetric(proofDesc, prometheus.GaugeValue, view.ProofAge.Seconds())
	}
	l := c.node.leader()
	if l == nil {
		out <- prometheus.MustNewConstMetric(leadingDesc, prometheus.GaugeValue, 0)
		return
	}
	out <- prometheus.MustNewConstMetric(leadingDesc, prometheus.GaugeValue, 1)
	l.collect(out)
}

// collect collects the counts of the leader and its engine.
func (l *leader) collect(out chan<- prometheus.Metric) {
	l.mu.Lock()
	ends, pending, wasted := l.engine.Counters(), l.pendingLocked(), l.engine.WastedCoreSeconds()
	organizations := l.engine.OrganizationUses(maxOrganizationMetrics)
	graded, withheld := l.engine.Health() == engine.HealthGraded, l.engine.WithheldWorkers(time.Now())
	outdated := l.engine.OutdatedWorkers()
	l.collectDurations(out)
	l.mu.Unlock()
	collectOrganizations(out, organizations)
	if graded {
		collectHealth(out, withheld, ends.Withheld)
	}
	out <- prometheus.MustNewConstMetric(outdatedDesc, prometheus.GaugeValue, float64(outdated))
	out <- prometheus.MustNewConstMetric(termDesc, prometheus.GaugeValue, l.confirmedBefore().Seconds())
	out <- prometheus.MustNewConstMetric(relaysDesc, prometheus.GaugeValue, float64(l.dispatch.openLinks()))
	for queue, count := range pending {
		out <- prometheus.MustNewConstMetric(pendingDesc, prometheus.GaugeValue, float64(count), queue)
	}
	for end, count := range endCounts(ends) {
		out <- prometheus.MustNewConstMetric(endsDesc, prometheus.CounterValue, float64(count), end)
	}
	for cause, amount := range wasted {
		out <- prometheus.MustNewConstMetric(wasteDesc, prometheus.CounterValue, amount, cause.String())
	}
	for outcome, count := range map[string]int64{"counted": ends.Crashes, "withdrawn": ends.CrashesWithdrawn, "given-up": ends.GivenUp} {
		out <- prometheus.MustNewConstMetric(crashesDesc, prometheus.CounterValue, float64(count), outcome)
	}
}

func endCounts(c engine.Counters) map[string]int64 {
	return map[string]int64{"done": c.EndsDone, "failed": c.EndsFailed, "lapsed": c.EndsExpired, "other": c.EndsOther}
}
