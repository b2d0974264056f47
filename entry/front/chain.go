package front

import "context"

// Filter is one step of request processing. It returns an Outcome itself or calls next.
type Filter interface {
	Apply(ctx context.Context, r *Request, next Next) Outcome
}

// Next runs the remaining filters of a chain.
type Next func(ctx context.Context, r *Request) Outcome

// chain combines the filters, in order, into one function that ends with last.
func chain(last Next, filters ...Filter) Next {
	next := last
	for i := len(filters) - 1; i >= 0; i-- {
		filter, rest := filters[i], next
		next = func(ctx context.Context, r *Request) Outcome { return filter.Apply(ctx, r, rest) }
	}
	return next
}
