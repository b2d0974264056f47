package burn

// Counts holds numbers of requests in a period.
type Counts struct {
	// Total is the number of all requests.
	Total int64 `cbor:"1,keyasint,omitempty"`
	// Refused is the number of requests that were not run.
	Refused int64 `cbor:"2,keyasint,omitempty"`
	// Ambiguous is the number of requests of unknown outcome, which may have run.
	Ambiguous int64 `cbor:"3,keyasint,omitempty"`
	// Accepted is the number of requests that were sent to a target, or may have been.
	Accepted int64 `cbor:"4,keyasint,omitempty"`
	// InWindow is the number of accepted requests that completed inside their window.
	InWindow int64 `cbor:"5,keyasint,omitempty"`
}

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	c.Refused += other.Refused
	c.Ambiguous += other.Ambiguous
	c.Accepted += other.Accepted
	c.InWindow += other.InWindow
}

func (c *Counts) observe(s *Sample) {
	c.Total++
	switch s.Outcome {
	case Refused:
		c.Refused++
	case Ambiguous:
		c.Ambiguous++
	case Completed:
		if !s.EndedAt.After(s.NotAfter) {
			c.InWindow++
		}
	}
	if s.Outcome != Refused || !s.StartedAt.IsZero() {
		c.Accepted++
	}
}
