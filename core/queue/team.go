package queue

import "tanagerstack.org/core/roster"

// Team is what the policy grants a team, and what its tasks hold.
type Team struct {
	// Weight is the team's share in the policy; a team that has none weighs 1.
	Weight float64
	// Quota bounds what its tasks hold; a zero field is no bound.
	Quota roster.Resources
	// Held is what its tasks hold now.
	Usage roster.Resources
}

// dominant is the team's weighted dominant share of the fleet.
func (t Team) dominant(fleet roster.Resources) float64 {
	share := max(
		ratio(t.Usage.Millicores, fleet.Millicores),
		ratio(t.Usage.MemoryBytes, fleet.MemoryBytes),
		ratio(int64(t.Usage.Accelerators), int64(fleet.Accelerators)),
	)
	if t.Weight <= 0 {
		return share
	}
	return share / t.Weight
}

// Room is how many tasks of a size the quota still allows, at most limit.
func (t Team) TasksWithinQuota(each roster.Resources, limit int) int {
	n := int64(limit)
	n = min(n, allowed(t.Quota.Millicores, t.Usage.Millicores, each.Millicores, n))
	n = min(n, allowed(t.Quota.MemoryBytes, t.Usage.MemoryBytes, each.MemoryBytes, n))
	n = min(n, allowed(int64(t.Quota.Accelerators), int64(t.Usage.Accelerators), int64(each.Accelerators), n))
	return int(n)
}

// allowed is how many times each fits between held and quota, at most limit.
func allowed(quota, held, each, limit int64) int64 {
	if quota <= 0 || each <= 0 {
		return limit
	}
	return max(0, min(limit, (quota-held)/each))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
