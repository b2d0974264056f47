package store

import (
	"context"
	"errors"
	"testing"
)

// TestMemoryLostAnswers checks that a commit with a lost reply fails with ErrOutcomeUnknown, and
// that both outcomes, applied and not applied, occur.
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
			t.Fatalf("commit from version %d to %d returned error %v", before.Version, after.Version, err)
		}
	}
	if applied == 0 || lost == 0 || confirmed == 0 {
		t.Fatalf("%d confirmed, %d applied without reply, %d lost: each must occur", confirmed, applied, lost)
	}
}
