package queue

import "tanagerstack.org/core/roster"

// Team holds the weight and quota that the policy grants a team, and its usage.
type Team struct {
	// Weight is the team's share in the policy; a value of zero or less counts as 1.
	Weight float64
	// Quota limits Usage; a zero field means no limit.
	Quota roster.Resources
	// Usage is the sum of the resources that the team's tasks use now.
	Usage roster.Resources
}

// dominantShare returns the greatest of the team's shares of the fleet's resources,
// divided by the team's weight.
func (t Team) dominantShare(fleet roster.Resources) float64 {
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

// TasksWithinQuota returns how many more tasks of size perTask the quota allows, at
// most limit.
func (t Team) TasksWithinQuota(perTask roster.Resources, limit int) int {
	n := int64(limit)
	n = min(n, tasksWithin(t.Quota.Millicores, t.Usage.Millicores, perTask.Millicores, n))
	n = min(n, tasksWithin(t.Quota.MemoryBytes, t.Usage.MemoryBytes, perTask.MemoryBytes, n))
	n = min(n, tasksWithin(int64(t.Quota.Accelerators), int64(t.Usage.Accelerators), int64(perTask.Accelerators), n))
	return int(n)
}

// tasksWithin returns how many times perTask fits between used and quota, at most
// limit. A quota of zero or less means no limit.
func tasksWithin(quota, used, perTask, limit int64) int64 {
	if quota <= 0 || perTask <= 0 {
		return limit
	}
	return max(0, min(limit, (quota-used)/perTask))
}

// ratio returns part/whole, or 0 if whole is not positive.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
