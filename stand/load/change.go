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
	// watchEvery is the time between questions about the version in force.
	watchEvery = 25 * time.Millisecond
	// operatorCallTimeout bounds one call; a VM that does not answer is not live.
	operatorCallTimeout = 2 * time.Second
	// deadAfter is how long an entry VM must refuse connections to count as dead.
	deadAfter = time.Second
	// watchMargin is how far past the limit a change is still watched.
	watchMargin = 4 * time.Second
)

// policyDriver applies policy changes and watches them take force.
type policyDriver struct {
	opts    *Options
	tally   *tally
	clients []*api.Client
}

// operatorBearer gives the operator's token to the generated client.
type operatorBearer struct{ token string }

// Token returns the token for each operation.
func (b operatorBearer) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: b.token}, nil
}

func newPolicyDriver(opts *Options, t *tally) (*policyDriver, error) {
	d := &policyDriver{opts: opts, tally: t}
	for _, address := range opts.Operators {
		client, err := operatorClient(address, opts.OperatorToken)
		if err != nil {
			return nil, err
		}
		d.clients = append(d.clients, client)
	}
	return d, nil
}

func operatorClient(address netip.AddrPort, token string) (*api.Client, error) {
	client, err := api.NewClient("http://"+address.String(), operatorBearer{token: token},
		api.WithClient(&http.Client{Timeout: operatorCallTimeout}))
	if err != nil {
		return nil, fmt.Errorf("operators' client of %s: %w", address, err)
	}
	return client, nil
}

// run applies changes until ctx ends.
func (d *policyDriver) run(ctx context.Context) {
	ticker := time.NewTicker(d.opts.ChangeEvery)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		began := time.Now()
		version, err := d.apply(ctx, number)
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.V(1).InfoS("policy change was not applied; the next one follows", "err", err)
			d.tally.refusal("policy change not applied", whyNotApplied(err))
			continue
		}
		d.watch(version, began)
	}
}

// apply applies one change through the first entry VM that answers.
func (d *policyDriver) apply(ctx context.Context, number int) (int64, error) {
	var failed []error
	for i := range d.clients {
		version, err := change(ctx, d.clients[(number+i)%len(d.clients)], number)
		if err == nil {
			return version, nil
		}
		failed = append(failed, err)
	}
	return 0, errors.Join(failed...)
}

// whyNotApplied shortens the reasons of all entry VMs to that of the first.
func whyNotApplied(err error) string {
	if problem := new(api.ProblemStatusCode); errors.As(err, &problem) {
		return problem.Response.Reason.Or(problem.Response.Title)
	}
	return brief(err)
}

// change raises the default burst by one.
func change(ctx context.Context, client *api.Client, number int) (int64, error) {
	current, err := client.GetPolicy(ctx)
	if err != nil {
		return 0, err
	}
	var document policy.Document
	if err := yaml.Unmarshal([]byte(current.Document), &document); err != nil {
		return 0, fmt.Errorf("policy in force: %w", err)
	}
	document.Defaults.Burst++
	text, err := yaml.Marshal(&document)
	if err != nil {
		return 0, fmt.Errorf("new policy: %w", err)
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
		return 0, fmt.Errorf("conflict with version %d", applied.Current.Version)
	default:
		return 0, fmt.Errorf("unexpected answer %T", answer)
	}
}

// watch notes how long it took until every live entry VM had the version in force.
func (d *policyDriver) watch(version int64, began time.Time) {
	var all sync.WaitGroup
	watchers := make([]*watcher, len(d.clients))
	for i, client := range d.clients {
		watchers[i] = &watcher{client: client, version: version, until: began.Add(d.opts.PolicyLimit + watchMargin), all: &all}
		all.Add(1)
		go watchers[i].run()
	}
	all.Wait()
	last := began
	for _, w := range watchers {
		if w.inForceAt.After(last) {
			last = w.inForceAt
		}
	}
	d.tally.change(last.Sub(began))
}

// watcher asks one entry VM until the version is in force there.
type watcher struct {
	client  *api.Client
	version int64
	until   time.Time
	all     *sync.WaitGroup
	// inForceAt is when the version was seen in force; zero for a VM that is not
	// live, and the end of the watch for one that kept an older version.
	inForceAt time.Time
}

func (w *watcher) run() {
	defer w.all.Done()
	answeredAt := time.Now()
	for {
		present, err := w.client.GetPolicy(context.Background())
		now := time.Now()
		if err == nil && present.Version >= w.version {
			w.inForceAt = now
			return
		}
		if !refusedConnection(err) {
			answeredAt = now
		}
		if now.Sub(answeredAt) > deadAfter {
			return
		}
		if now.After(w.until) {
			if err == nil {
				w.inForceAt = now
			}
			return
		}
		time.Sleep(watchEvery)
	}
}

// refusedConnection reports whether nobody listens at the address.
func refusedConnection(err error) bool {
	failed := new(net.OpError)
	return errors.As(err, &failed) && failed.Op == "dial"
}
