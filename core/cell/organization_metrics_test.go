package cell

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/roster"
)

// organizationCollector collects the metrics of a fixed list of organizations.
type organizationCollector []engine.OrganizationUse

func (c organizationCollector) Describe(chan<- *prometheus.Desc)     {}
func (c organizationCollector) Collect(out chan<- prometheus.Metric) { collectOrganizations(out, c) }

// TestOrganizationMetrics guards against wrong units and against a cap of zero where there is no limit.
func TestOrganizationMetrics(t *testing.T) {
	list := organizationCollector{{Name: "north", Usage: roster.Resources{Millicores: 2500, MemoryBytes: 4096}, Cap: roster.Resources{Millicores: 8000}, Waiting: 3}}
	want := `
# HELP tanager_organization_cap Cap of an organization, in the same units. Resources without limit are left out.
# TYPE tanager_organization_cap gauge
tanager_organization_cap{organization="north",resource="processors"} 8
# HELP tanager_organization_usage Request of the runs of an organization that may exist, in processors, bytes of memory and accelerators.
# TYPE tanager_organization_usage gauge
tanager_organization_usage{organization="north",resource="accelerators"} 0
tanager_organization_usage{organization="north",resource="memory"} 4096
tanager_organization_usage{organization="north",resource="processors"} 2.5
# HELP tanager_organization_waiting_jobs Accepted jobs of an organization that have not begun.
# TYPE tanager_organization_waiting_jobs gauge
tanager_organization_waiting_jobs{organization="north"} 3
`
	if err := testutil.CollectAndCompare(list, strings.NewReader(want)); err != nil {
		t.Error(err)
	}
}
