package cell

import (
	"github.com/prometheus/client_golang/prometheus"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/roster"
)

// maxOrganizationMetrics is the number of organizations with metrics of their own, those with the
// highest weights. It bounds the time series that one VM exposes.
const maxOrganizationMetrics = 100

var (
	organizationUsageDesc   = prometheus.NewDesc("tanager_organization_usage", "Request of the runs of an organization that may exist, in processors, bytes of memory and accelerators.", []string{"organization", "resource"}, nil)
	organizationCapDesc     = prometheus.NewDesc("tanager_organization_cap", "Cap of an organization, in the same units. Resources without limit are left out.", []string{"organization", "resource"}, nil)
	organizationWaitingDesc = prometheus.NewDesc("tanager_organization_waiting_jobs", "Accepted jobs of an organization that have not begun.", []string{"organization"}, nil)
)

// collectOrganizations collects what organizations use and may use.
func collectOrganizations(out chan<- prometheus.Metric, list []engine.OrganizationUse) {
	for _, o := range list {
		for resource, amount := range amountsByName(o.Usage) {
			out <- prometheus.MustNewConstMetric(organizationUsageDesc, prometheus.GaugeValue, amount, o.Name, resource)
		}
		for resource, amount := range amountsByName(o.Cap) {
			if amount > 0 {
				out <- prometheus.MustNewConstMetric(organizationCapDesc, prometheus.GaugeValue, amount, o.Name, resource)
			}
		}
		out <- prometheus.MustNewConstMetric(organizationWaitingDesc, prometheus.GaugeValue, float64(o.Waiting), o.Name)
	}
}

// amountsByName returns the amounts of resources in the units of the metrics.
func amountsByName(r roster.Resources) map[string]float64 {
	return map[string]float64{"processors": float64(r.Millicores) / 1000, "memory": float64(r.MemoryBytes), "accelerators": float64(r.Accelerators)}
}
