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

// Times returns n times a.
func Scale(a roster.Resources, n int) roster.Resources {
	return roster.Resources{
		Millicores:   a.Millicores * int64(n),
		MemoryBytes:  a.MemoryBytes * int64(n),
		Accelerators: a.Accelerators * n,
	}
}

// Fits reports whether demand fits into room in every dimension.
func Fits(demand, room roster.Resources) bool {
	return demand.Millicores <= room.Millicores &&
		demand.MemoryBytes <= room.MemoryBytes &&
		demand.Accelerators <= room.Accelerators
}

// Count returns how many times demand fits into room, at most limit.
func FitCount(demand, room roster.Resources, limit int) int {
	n := int64(limit)
	n = min(n, quotient(room.Millicores, demand.Millicores, n))
	n = min(n, quotient(room.MemoryBytes, demand.MemoryBytes, n))
	n = min(n, quotient(int64(room.Accelerators), int64(demand.Accelerators), n))
	return int(max(n, 0))
}

func quotient(room, demand, unbounded int64) int64 {
	if demand <= 0 {
		if room < 0 {
			return 0
		}
		return unbounded
	}
	return room / demand
}
