package server

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"lockroad/internal/persistence"
	"lockroad/internal/store"
)

// directiveCommitTimeout is how long a console command waits for a change to be committed to the store.
const directiveCommitTimeout = 3 * time.Second

// directiveTable returns the stored drain directives, by endpoint name. The caller holds p.mu, unless the
// services don't run yet.
func (p *persistentState) directiveTable() *store.Table[persistence.DrainDirective] {
	return &store.Table[persistence.DrainDirective]{Store: p.store, Kind: persistence.KindDrainDirectives, Version: 1}
}

// restoreDirectives applies the stored directives and those of the predecessor.
func (p *persistentState) restoreDirectives(inherited []persistence.DrainDirective) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDirectives(append(p.readDirectives(), inherited...))
}

// readDirectives returns the stored directives. It logs an error and returns those read before it.
func (p *persistentState) readDirectives() (all []persistence.DrainDirective) {
	err := p.directiveTable().Each(false, func(_ string, _ time.Time, directive persistence.DrainDirective) bool {
		all = append(all, directive)
		return true
	})
	if err != nil {
		p.relay.log.Error("failed to read stored drain directives", "error", err)
	}
	return all
}

// reconcileDirectives replaces the directives handed over by the predecessor with those in the store, once the
// predecessor has released it: the predecessor may have added or withdrawn directives after the handover.
func (p *persistentState) reconcileDirectives() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store == nil {
		return // keep the directives that were handed over
	}
	saved := p.readDirectives()
	for endpoint := range p.directives {
		if !slices.ContainsFunc(saved, func(directive persistence.DrainDirective) bool { return directive.Endpoint == endpoint }) {
			delete(p.directives, endpoint)
			p.proxy.SetDrain(endpoint, false)
		}
	}
	p.applyDirectives(saved)
}

// applyDirectives applies the directives that have not expired, except for endpoints that already have one. The
// caller holds p.mu.
func (p *persistentState) applyDirectives(all []persistence.DrainDirective) {
	for _, directive := range all {
		if _, inForce := p.directives[directive.Endpoint]; inForce || directive.Expired(time.Now()) {
			continue
		}
		p.directives[directive.Endpoint] = directive
		p.proxy.SetDrain(directive.Endpoint, true)
		p.relay.log.Info("drain directive restored", "server", directive.Endpoint, "who", directive.By, "since", directive.Since, "why", directive.Reason)
	}
}

// Drain sets a drain directive, which takes effect immediately, and returns the one that it replaces, if any.
// storeErr is set if the directive could not be stored and won't survive a restart. err is set if the endpoint
// is not in the endpoint list; no directive is set then.
func (p *persistentState) Drain(ctx context.Context, directive persistence.DrainDirective) (previous *persistence.DrainDirective, storeErr, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.proxy.Endpoints.Lookup(directive.Endpoint); !known {
		return nil, nil, fmt.Errorf("server %q is not in the endpoint list; the farm command shows the servers", directive.Endpoint)
	}
	if old, inForce := p.directives[directive.Endpoint]; inForce {
		previous = &old
	}
	p.directives[directive.Endpoint] = directive
	p.proxy.SetDrain(directive.Endpoint, true) // takes effect before the commit, and even if it fails
	p.relay.log.Warn("drain directive set", "server", directive.Endpoint, "who", directive.By, "until", directive.Until, "why", directive.Reason)
	storeErr = p.commit(ctx, func(ctx context.Context) error { return p.directiveTable().Commit(ctx, directive.Endpoint, directive) })
	return previous, storeErr, nil
}

// Undrain withdraws a directive and returns it. storeErr is set if the removal could not be stored, so that the
// directive will be in force again after a restart. err is set if the endpoint has no directive.
func (p *persistentState) Undrain(ctx context.Context, endpoint, by string) (withdrawn persistence.DrainDirective, storeErr, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	withdrawn, inForce := p.directives[endpoint]
	if !inForce {
		return withdrawn, nil, fmt.Errorf("no order is in force for server %q; the orders command lists all orders", endpoint)
	}
	p.relay.log.Warn("drain directive withdrawn", "server", endpoint, "who", by)
	return withdrawn, p.removeDirective(ctx, endpoint), nil
}

// DrainDirectives returns the directives in force, sorted by endpoint name.
func (p *persistentState) DrainDirectives() []persistence.DrainDirective {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []persistence.DrainDirective
	for _, directive := range p.directives {
		all = append(all, directive)
	}
	slices.SortFunc(all, func(x, y persistence.DrainDirective) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// expireDirectives removes expired directives.
func (p *persistentState) expireDirectives(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, directive := range p.directives {
		if !directive.Expired(now) {
			continue
		}
		p.relay.log.Info("drain directive expired", "server", endpoint, "who", directive.By)
		if err := p.removeDirective(ctx, endpoint); err != nil && p.store != nil {
			p.relay.log.Error("failed to remove expired drain directive from store", "server", endpoint, "error", err)
		}
	}
}

// removeDirective ends an endpoint's drain immediately and then removes its directive from the store. The error
// is that of the store. The caller holds p.mu.
func (p *persistentState) removeDirective(ctx context.Context, endpoint string) (storeErr error) {
	delete(p.directives, endpoint)
	p.proxy.SetDrain(endpoint, false)
	return p.commit(ctx, func(ctx context.Context) error { return p.directiveTable().Remove(ctx, endpoint) })
}

// commit makes a change to the store and waits at most directiveCommitTimeout for it. The caller holds p.mu.
func (p *persistentState) commit(ctx context.Context, change func(context.Context) error) error {
	if p.store == nil {
		return p.storeErr
	}
	ctx, cancel := context.WithTimeout(ctx, directiveCommitTimeout)
	defer cancel()
	return change(ctx)
}
