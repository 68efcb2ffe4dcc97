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

// directiveCommitTimeout is how long a console waits for the disk.
const directiveCommitTimeout = 3 * time.Second

// directiveTable has the drain directives that are saved, by endpoint. p.mu is held, or the services don't run yet.
func (p *persistentState) directiveTable() *store.Table[persistence.DrainDirective] {
	return &store.Table[persistence.DrainDirective]{Store: p.store, Kind: persistence.KindDrainDirectives, Version: 1}
}

// restoreDirectives puts the directives in force that were saved, and those of the predecessor.
func (p *persistentState) restoreDirectives(inherited []persistence.DrainDirective) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDirectives(append(p.readDirectives(), inherited...))
}

// readDirectives returns the directives that are saved, as far as they can be read.
func (p *persistentState) readDirectives() (all []persistence.DrainDirective) {
	err := p.directiveTable().Each(false, func(_ string, _ time.Time, directive persistence.DrainDirective) bool {
		all = append(all, directive)
		return true
	})
	if err != nil {
		p.relay.log.Error("stored drain directive unreadable", "error", err)
	}
	return all
}

// reconcileDirectives goes by the store that the predecessor has let go of: it took directives and withdrew some after it had
// handed over those in force.
func (p *persistentState) reconcileDirectives() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store == nil {
		return // what was handed over is all there is to go by
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

// applyDirectives puts directives in force that are not yet, and have not expired. p.mu is held.
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

// Drain makes an endpoint drain at once. kept says why the directive does not outlast a restart; was is the one that it
// replaces. err says why there is no directive: the endpoint is not listed.
func (p *persistentState) Drain(ctx context.Context, directive persistence.DrainDirective) (was *persistence.DrainDirective, kept, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.proxy.Endpoints.Lookup(directive.Endpoint); !known {
		return nil, nil, fmt.Errorf("no server %q is listed; farm names them", directive.Endpoint)
	}
	if old, inForce := p.directives[directive.Endpoint]; inForce {
		was = &old
	}
	p.directives[directive.Endpoint] = directive
	p.proxy.SetDrain(directive.Endpoint, true) // at once, whatever the disk does
	p.relay.log.Warn("drain directive set", "server", directive.Endpoint, "who", directive.By, "until", directive.Until, "why", directive.Reason)
	kept = p.commit(ctx, func(ctx context.Context) error { return p.directiveTable().Commit(ctx, directive.Endpoint, directive) })
	return was, kept, nil
}

// Undrain withdraws a directive, and returns it. kept says why it will be in force again after a restart; err says that there
// is none.
func (p *persistentState) Undrain(ctx context.Context, endpoint, by string) (was persistence.DrainDirective, kept, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was, inForce := p.directives[endpoint]
	if !inForce {
		return was, nil, fmt.Errorf("no order has %q drain; orders lists those in force", endpoint)
	}
	p.relay.log.Warn("drain directive withdrawn", "server", endpoint, "who", by)
	return was, p.removeDirective(ctx, endpoint), nil
}

// DrainDirectives returns those in force, by endpoint.
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

// expireDirectives removes those that have expired.
func (p *persistentState) expireDirectives(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, directive := range p.directives {
		if !directive.Expired(now) {
			continue
		}
		p.relay.log.Info("drain directive expired", "server", endpoint, "who", directive.By)
		if err := p.removeDirective(ctx, endpoint); err != nil && p.store != nil {
			p.relay.log.Error("expired drain directive not removed from store", "server", endpoint, "error", err)
		}
	}
}

// removeDirective removes a directive, at once here and then on disk. p.mu is held.
func (p *persistentState) removeDirective(ctx context.Context, endpoint string) (kept error) {
	delete(p.directives, endpoint)
	p.proxy.SetDrain(endpoint, false)
	return p.commit(ctx, func(ctx context.Context) error { return p.directiveTable().Remove(ctx, endpoint) })
}

// commit makes a change to the store, where there is one, and waits directiveCommitTimeout at the most. p.mu is held.
func (p *persistentState) commit(ctx context.Context, change func(context.Context) error) error {
	if p.store == nil {
		return p.storeErr
	}
	ctx, cancel := context.WithTimeout(ctx, directiveCommitTimeout)
	defer cancel()
	return change(ctx)
}
