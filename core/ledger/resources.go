package ledger

import "tanagerstack.org/core/roster"

// Sum returns a plus b.
func Sum(a, b roster.Resources) roster.Resources {
	return roster.Resources{
		Millicores:   a.Millicores + b.Millicores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// Difference returns a minus b.
func Difference(a, b roster.Resources) roster.Resources {
	return roster.Resources{
		Millicores:   a.Millicores - b.Millicores,
		MemoryBytes:  a.MemoryBytes - b.MemoryBytes,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// Scale returns n times a.
func Scale(a roster.Resources, n int) roster.Resources {
	return roster.Resources{
		Millicores:   a.Millicores * int64(n),
		MemoryBytes:  a.MemoryBytes * int64(n),
		Accelerators: a.Accelerators * n,
	}
}

// Fits reports whether demand fits into free in every dimension.
func Fits(demand, free roster.Resources) bool {
	return demand.Millicores <= free.Millicores &&
		demand.MemoryBytes <= free.MemoryBytes &&
		demand.Accelerators <= free.Accelerators
}

// FitCount returns how many times demand fits into free, at most limit.
func FitCount(demand, free roster.Resources, limit int) int {
	n := int64(limit)
	n = min(n, fitsInDimension(free.Millicores, demand.Millicores, n))
	n = min(n, fitsInDimension(free.MemoryBytes, demand.MemoryBytes, n))
	n = min(n, fitsInDimension(int64(free.Accelerators), int64(demand.Accelerators), n))
	return int(max(n, 0))
}

func fitsInDimension(free, demand, unbounded int64) int64 {
	if demand <= 0 {
		if free < 0 {
			return 0
		}
		return unbounded
	}
	return free / demand
}
