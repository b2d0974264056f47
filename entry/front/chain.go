package front

import "context"

// Filter is one step of the way of a request. It answers, or calls next.
type Filter interface {
	Apply(ctx context.Context, r *Request, next Next) Outcome
}

// Next is the rest of a chain.
type Next func(ctx context.Context, r *Request) Outcome

// chain returns the filters as one function that ends in last.
func chain(last Next, filters ...Filter) Next {
	next := last
	for i := len(filters) - 1; i >= 0; i-- {
		filter, rest := filters[i], next
		next = func(ctx context.Context, r *Request) Outcome { return filter.Apply(ctx, r, rest) }
	}
	return next
}
