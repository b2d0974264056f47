package cell

import (
	"context"
	"errors"
	"time"

	"tanagerstack.org/core/jobs"
)

// Errors of requests that a caller may not make.
var (
	// ErrUnknownKey means that the key of a request belongs to no organization.
	ErrUnknownKey = errors.New("unknown key")
	// ErrConfigUnproved means that keys cannot be checked now, because the configuration may be
	// older than the latest revocation.
	ErrConfigUnproved = errors.New("the configuration may be out of date, so keys cannot be checked")
	// ErrForbidden means that the job belongs to another organization.
	ErrForbidden = errors.New("the job belongs to another organization")
)

// ConfigView is the configuration that applies to a request, with the age of the proof that it is
// the newest.
type ConfigView struct {
	// Config is nil before the first configuration was read.
	Config *jobs.Config
	// ProofAge is the age of the proof, MaxProofAge the age from which on keys are not checked.
	// MaxProofAge is zero where revocation is not strict.
	ProofAge, MaxProofAge time.Duration
}

// Unproved reports whether requests that need a key have to be refused because the proof is too old.
func (v ConfigView) Unproved() bool {
	return v.MaxProofAge > 0 && v.Config.HasOrganizations() && v.ProofAge >= v.MaxProofAge
}

// Authenticate decides who sends a request to a queue, given the key in the request. It handles each
// request of a cell: thousands per second, among 10,000 keys. The error is ErrUnknownKey or
// ErrConfigUnproved.
func (v ConfigView) Authenticate(queue jobs.Queue, key string) (Caller, error) {
	if !v.Config.HasOrganizations() || queue.Public {
		return Caller{config: v.Config}, nil
	}
	if v.Unproved() {
		return Caller{}, ErrConfigUnproved
	}
	organization, known := v.Config.Organizations.ByKey(key)
	if !known {
		return Caller{}, ErrUnknownKey
	}
	return Caller{Organization: organization.Name, config: v.Config}, nil
}

// KeyedRequest is what Node.Authenticate needs to know of a request.
type KeyedRequest struct {
	Queue jobs.Queue
	// Job is empty if the request names no job.
	Job jobs.ID
	Key string
}

// Outcomes of the check of a key, as labels of the metric.
const (
	keyAccepted = "accepted"
	keyMissing  = "missing"
	keyUnknown  = "unknown"
	keyUnproved = "unproved"
)

// maxRefusalLines is the number of lines per second about refused requests. Callers may send
// thousands of requests with a key that was withdrawn.
const maxRefusalLines = 10

// Authenticate is ConfigView.Authenticate, and counts and logs the outcome.
func (n *Node) Authenticate(view ConfigView, request KeyedRequest) (Caller, error) {
	caller, err := view.Authenticate(request.Queue, request.Key)
	if !view.Config.HasOrganizations() || request.Queue.Public {
		return caller, err
	}
	outcome := keyAccepted
	switch {
	case errors.Is(err, ErrConfigUnproved):
		outcome = keyUnproved
	case err != nil && request.Key == "":
		outcome = keyMissing
	case err != nil:
		outcome = keyUnknown
	}
	n.metrics.keyChecks.WithLabelValues(outcome).Inc()
	if err != nil {
		n.logKeyRefusal(view, request, outcome)
	}
	return caller, err
}

func (n *Node) logKeyRefusal(view ConfigView, request KeyedRequest, outcome string) {
	suppressed, ok := n.keyRefusals.take(time.Now())
	if !ok {
		return
	}
	n.opts.Logger.Info("request refused for its key", "job", request.Job, "queue", request.Queue.Name, "outcome", outcome,
		"version", view.Config.Version, "proof-age", view.ProofAge, "max-proof-age", view.MaxProofAge, "suppressed", suppressed)
}

// Caller is who sends a request, as ConfigView.Authenticate has determined it. The zero value may see
// all jobs.
type Caller struct {
	// Organization is empty if the request needed no key.
	Organization string
	config       *jobs.Config
}

// owner is what tells who may see and cancel a job.
type owner struct {
	Organization, Queue string
}

func ownerOf(job jobs.Job) owner {
	return owner{Organization: job.Organization, Queue: job.Queue.Name}
}

// mayUse reports whether the caller may see and cancel a job of an owner. A job without organization
// is open to all who can use its queue.
func (c Caller) mayUse(o owner) bool {
	switch {
	case !c.config.HasOrganizations():
		return true
	case o.Organization != "" || c.Organization != "":
		return o.Organization == "" || o.Organization == c.Organization
	default:
		queue, found := c.config.Queue(o.Queue)
		return found && queue.Public
	}
}

// StatusFor is Status for a caller. The error is ErrForbidden if the caller may not see the job.
func (n *Node) StatusFor(ctx context.Context, caller Caller, id jobs.ID) (jobs.State, error) {
	state, owner, err := n.describe(ctx, id)
	if err == nil && !caller.mayUse(owner) {
		return 0, ErrForbidden
	}
	return state, err
}
