package store

import (
	"context"
	"errors"
	"testing"
)

// TestMemoryLostAnswers checks that a lost answer is never told as a refusal,
// and that both outcomes of it occur.
func TestMemoryLostAnswers(t *testing.T) {
	ctx := context.Background()
	tables := NewMemory()
	tables.SetFaults(Faults{LostAnswers: 0.5, LostWrites: 0.5, Seed: 7})
	var applied, lost, confirmed int
	for range 200 {
		before, _ := tables.Read(ctx, "t", "k")
		_, err := tables.Commit(ctx, Put{Table: "t", Key: "k", Expected: Expect(before.Version)})
		after, _ := tables.Read(ctx, "t", "k")
		switch {
		case err == nil && after.Version > before.Version:
			confirmed++
		case errors.Is(err, ErrOutcomeUnknown) && after.Version > before.Version:
			applied++
		case errors.Is(err, ErrOutcomeUnknown):
			lost++
		default:
			t.Fatalf("commit from version %d to %d ended as %v", before.Version, after.Version, err)
		}
	}
	if applied == 0 || lost == 0 || confirmed == 0 {
		t.Fatalf("confirmed %d, applied without answer %d, lost %d: each must occur", confirmed, applied, lost)
	}
}
