package route

import "github.com/cespare/xxhash/v2"

// FloorSlots returns how many of a target's slots belong to a seat. Slot i
// belongs to seat s if i mod seats == (s + hash(target)) mod seats, so that the
// odd slots of different targets fall to different seats.
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
