package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"sigs.k8s.io/yaml"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
)

const (
	// policyPollInterval is the time between reads of the version in force on one entry VM.
	policyPollInterval = 25 * time.Millisecond
	// operatorCallTimeout is the timeout of one call to an operators' API.
	operatorCallTimeout = 2 * time.Second
	// deadAfter is how long an entry VM must refuse connections before it counts as dead.
	deadAfter = time.Second
	// watchMargin is how long past Options.MaxPolicyDelay a policy change is still observed.
	watchMargin = 4 * time.Second
)

// policyDriver applies policy changes and measures when they are in force.
type policyDriver struct {
	opts     *Options
	recorder *recorder
	clients  []*api.Client
}

// operatorTokenSource supplies the token of the operator to the generated client.
type operatorTokenSource struct{ token string }

// Token returns the same token for all operations.
func (s operatorTokenSource) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: s.token}, nil
}

func newPolicyDriver(opts *Options, rec *recorder) (*policyDriver, error) {
	d := &policyDriver{opts: opts, recorder: rec}
	for _, address := range opts.Operators {
		client, err := newOperatorClient(address, opts.OperatorToken)
		if err != nil {
			return nil, err
		}
		d.clients = append(d.clients, client)
	}
	return d, nil
}

func newOperatorClient(address netip.AddrPort, token string) (*api.Client, error) {
	client, err := api.NewClient("http://"+address.String(), operatorTokenSource{token: token},
		api.WithClient(&http.Client{Timeout: operatorCallTimeout}))
	if err != nil {
		return nil, fmt.Errorf("creating operators' client of %s: %w", address, err)
	}
	return client, nil
}

// run applies one change every Options.PolicyChangeInterval until ctx is done.
func (d *policyDriver) run(ctx context.Context) {
	ticker := time.NewTicker(d.opts.PolicyChangeInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		startedAt := time.Now()
		version, err := d.apply(ctx, number)
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.V(1).InfoS("policy change failed", "err", err)
			d.recorder.countProblem("policy change failed:", problemReason(err))
			continue
		}
		d.awaitInForce(version, startedAt)
	}
}

// apply applies one change through the first entry VM that accepts it, and returns the
// new policy version. If all fail, the error joins the errors of all entry VMs.
func (d *policyDriver) apply(ctx context.Context, number int) (int64, error) {
	var failed []error
	for i := range d.clients {
		version, err := raiseBurst(ctx, d.clients[(number+i)%len(d.clients)], number)
		if err == nil {
			return version, nil
		}
		failed = append(failed, err)
	}
	return 0, errors.Join(failed...)
}

// problemReason returns the reason in the first problem response in err, or the kind of
// connection error if there is no response.
func problemReason(err error) string {
	if problem := new(api.ProblemStatusCode); errors.As(err, &problem) {
		return problem.Response.Reason.Or(problem.Response.Title)
	}
	return errorKind(err)
}

// raiseBurst raises the default burst in the policy by one and returns the new version.
func raiseBurst(ctx context.Context, client *api.Client, number int) (int64, error) {
	current, err := client.GetPolicy(ctx)
	if err != nil {
		return 0, err
	}
	var document policy.Document
	if err := yaml.Unmarshal([]byte(current.Document), &document); err != nil {
		return 0, fmt.Errorf("decoding policy in force: %w", err)
	}
	document.Defaults.Burst++
	text, err := yaml.Marshal(&document)
	if err != nil {
		return 0, fmt.Errorf("encoding new policy: %w", err)
	}
	answer, err := client.ApplyPolicy(ctx, &api.PolicyApply{
		ExpectedVersion: current.Version, Author: "load",
		Reason: fmt.Sprintf("Load run: change %d of the default burst.", number), Document: string(text),
	})
	if err != nil {
		return 0, err
	}
	switch applied := answer.(type) {
	case *api.PolicyVersion:
		return applied.Version, nil
	case *api.PolicyConflict:
		return 0, fmt.Errorf("policy conflict: version %d is in force", applied.Current.Version)
	default:
		return 0, fmt.Errorf("unexpected answer of type %T", answer)
	}
}

// awaitInForce records how long it takes, from startedAt, until the version is in
// force on all live entry VMs.
func (d *policyDriver) awaitInForce(version int64, startedAt time.Time) {
	var wg sync.WaitGroup
	watchers := make([]*policyWatcher, len(d.clients))
	for i, client := range d.clients {
		watchers[i] = &policyWatcher{client: client, version: version, until: startedAt.Add(d.opts.MaxPolicyDelay + watchMargin), wg: &wg}
		wg.Add(1)
		go watchers[i].run()
	}
	wg.Wait()
	last := startedAt
	for _, w := range watchers {
		if w.inForceAt.After(last) {
			last = w.inForceAt
		}
	}
	d.recorder.addPolicyDelay(last.Sub(startedAt))
}

// policyWatcher polls one entry VM until the version is in force there.
type policyWatcher struct {
	client  *api.Client
	version int64
	until   time.Time
	wg      *sync.WaitGroup
	// inForceAt is when the version was first read from the VM. It is zero for a VM
	// that is not live, and the end of the wait for one that kept an older version.
	inForceAt time.Time
}

func (w *policyWatcher) run() {
	defer w.wg.Done()
	reachableAt := time.Now()
	for {
		present, err := w.client.GetPolicy(context.Background())
		now := time.Now()
		if err == nil && present.Version >= w.version {
			w.inForceAt = now
			return
		}
		if !isDialError(err) {
			reachableAt = now
		}
		if now.Sub(reachableAt) > deadAfter {
			return
		}
		if now.After(w.until) {
			if err == nil {
				w.inForceAt = now
			}
			return
		}
		time.Sleep(policyPollInterval)
	}
}

// isDialError reports whether no connection could be opened, as when no process
// listens at the address.
func isDialError(err error) bool {
	failed := new(net.OpError)
	return errors.As(err, &failed) && failed.Op == "dial"
}
