package table

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	api "tanagerstack.org/core/api/tables"
)

// TestStoreAgainstReferenceModel compares random transactions and scans with a map.
func TestStoreAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, reference, version := NewStore(), map[string]api.Row{}, int64(0)
		key := rapid.SampledFrom([]string{"a", "a/1", "a/2", "b", "b/1"})
		for range rapid.IntRange(1, 30).Draw(t, "transactions") {
			var operations []api.Operation
			wantApplied := true
			for _, k := range rapid.SliceOfNDistinct(key, 1, 3, rapid.ID[string]).Draw(t, "keys") {
				kind := rapid.SampledFrom(api.OperationKind("").AllValues()).Draw(t, "kind")
				o := api.Operation{Table: "t", Key: k, Kind: kind, Value: fmt.Append(nil, version)}
				if kind == api.OperationKindCheck || rapid.Bool().Draw(t, "conditional") {
					expected := reference[k].Version + int64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "off by"))
					o.ExpectedVersion = api.NewOptInt64(expected)
					wantApplied = wantApplied && expected == reference[k].Version
				}
				operations = append(operations, o)
			}
			result := store.Apply(operations)
			if result.Applied != wantApplied || (len(result.Conflicts) > 0) == wantApplied {
				t.Fatalf("applied = %v with conflicts %v, want applied = %v", result.Applied, result.Conflicts, wantApplied)
			}
			if !wantApplied {
				continue
			}
			version++
			for _, o := range operations {
				switch o.Kind {
				case api.OperationKindPut:
					reference[o.Key] = api.Row{Table: "t", Key: o.Key, Version: version, Value: o.Value}
				case api.OperationKindDelete:
					delete(reference, o.Key)
				}
			}
		}
		prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/", "c"}).Draw(t, "prefix")
		after := rapid.SampledFrom([]string{"", "a", "a/1", "a/9", "b", "z"}).Draw(t, "after")
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		var want []string
		for _, k := range slices.Sorted(maps.Keys(reference)) {
			if strings.HasPrefix(k, prefix) && (after == "" || k > after) {
				want = append(want, fmt.Sprint(reference[k]))
			}
		}
		rows, more := store.Scan("t", prefix, after, limit)
		if more != (len(want) > limit) {
			t.Fatalf("more = %v with %d rows and limit %d", more, len(want), limit)
		}
		var got []string
		for _, row := range rows {
			got = append(got, fmt.Sprint(row))
		}
		if !slices.Equal(got, want[:min(limit, len(want))]) {
			t.Fatalf("scan = %v, want %v", got, want)
		}
	})
}
