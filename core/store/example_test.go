package store_test

import (
	"context"
	"errors"
	"fmt"

	"tanagerstack.org/core/store"
)

// Two writers change the same version of a row. The second one gets a conflict with the
// present row.
func ExampleCompareAndSet() {
	ctx := context.Background()
	tables := store.NewMemory()
	row, _ := tables.Read(ctx, "lease", "zurich-a")
	if _, err := store.CompareAndSet(ctx, tables, row, []byte("first")); err != nil {
		fmt.Println(err)
	}
	_, err := store.CompareAndSet(ctx, tables, row, []byte("second"))
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		fmt.Printf("%s holds %s\n", conflict.Rows[0].Key, conflict.Rows[0].Value)
	}
	// Output: zurich-a holds first
}
