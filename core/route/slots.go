package route

import "github.com/cespare/xxhash/v2"

// FloorSlots returns the number of a target's slots that belong to a seat: slots/seats
// rounded down, or one more. Slot i belongs to seat s if i mod seats equals
// (s + hash(target)) mod seats, so that the remaining slots of different targets go to
// different seats. It returns 0 if an argument is out of range.
func FloorSlots(target string, slots, seat, seats int) int {
	if slots <= 0 || seats <= 0 || seat < 0 || seat >= seats {
		return 0
	}
	first := int((uint64(seat) + xxhash.Sum64String(target)%uint64(seats)) % uint64(seats))
	if first >= slots {
		return 0
	}
	return (slots-first-1)/seats + 1
}
