package server

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lockroad/internal/persistence"
	"lockroad/internal/store"
)

// directiveCommitTimeout is how long a console command waits for a change to be committed to the store.
const directiveCommitTimeout = 3 * time.Second

// directiveTable returns the stored drain directives, by endpoint name.
func (p *persistentState) directiveTable() *store.Table[persistence.DrainDirective] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &store.Table[persistence.DrainDirective]{Store: p.store, Kind: persistence.KindDrainDirectives, Version: 1}
}

// directiveState is the drain directives of a relay as one of its processes knows them.
type directiveState struct {
	// Revision increases with each order at the console. Of two states the one with the higher revision counts.
	Revision   uint64                       `json:"Revision"`
	Directives []persistence.DrainDirective `json:"Orders"`
	// Added is the endpoint of a new directive, which has to be in the endpoint list of the process that serves.
	Added string `json:"Added,omitempty"`
}

var errOutdatedDirectives = errors.New("the process that serves has newer orders")

// unknownEndpointError is the error of a directive for an endpoint that is not listed.
type unknownEndpointError struct{ endpoint string }

// Error names the endpoint and the command that lists all of them.
func (e *unknownEndpointError) Error() string {
	return fmt.Sprintf("server %q is not in the endpoint list; the farm command shows the servers", e.endpoint)
}

// requireListed returns an unknownEndpointError unless the endpoint is known.
func (p *persistentState) requireListed(endpoint string) error {
	if _, known := p.proxy.Endpoints.Lookup(endpoint); !known {
		return &unknownEndpointError{endpoint}
	}
	return nil
}

// restoreDirectives applies the stored directives and those of the predecessor.
func (p *persistentState) restoreDirectives(inherited []persistence.DrainDirective) {
	p.installDirectives(directiveState{Directives: append(p.readDirectives(), inherited...)})
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

// reconcileDirectives makes the directives in force and those in the store equal, once the predecessor has released
// the store. If the predecessor passed on all of its changes, those in force count: it may have been killed before
// it saved the last one. Otherwise the store has its last changes, and those made here since then come on top.
func (p *persistentState) reconcileDirectives(ctx context.Context) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	saved := p.readDirectives()
	p.mu.Lock()
	opened, inSync := p.store != nil, p.inSync
	p.mu.Unlock()
	if !opened {
		return // keep the directives that were handed over
	}
	if !inSync {
		p.installDirectives(p.withUnsaved(saved))
	}
	p.saveDifferences(ctx, saved)
}

// withUnsaved returns the stored directives with the changes made here while no store was open.
func (p *persistentState) withUnsaved(saved []persistence.DrainDirective) directiveState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := directiveState{Revision: p.revision}
	for _, directive := range saved {
		if !p.unsaved[directive.Endpoint] {
			state.Directives = append(state.Directives, directive)
		}
	}
	for endpoint, directive := range p.directives {
		if p.unsaved[endpoint] {
			state.Directives = append(state.Directives, directive)
		}
	}
	return state
}

// saveDifferences saves the directives in force that the store lacks, and removes from it those that are not in
// force. The caller holds changeMu.
func (p *persistentState) saveDifferences(ctx context.Context, saved []persistence.DrainDirective) {
	stored := make(map[string]persistence.DrainDirective)
	for _, directive := range saved {
		stored[directive.Endpoint] = directive
	}
	for _, directive := range p.DrainDirectives() {
		if old, found := stored[directive.Endpoint]; !found || !old.Equal(&directive) {
			p.logStoreError(directive.Endpoint, p.saveDirective(ctx, directive))
		}
		delete(stored, directive.Endpoint)
	}
	for endpoint := range stored {
		p.logStoreError(endpoint, p.eraseDirective(ctx, endpoint))
	}
}

func (p *persistentState) logStoreError(endpoint string, err error) {
	if err != nil {
		p.relay.log.Error("failed to bring a stored drain directive up to date", "server", endpoint, "error", err)
	}
}

// installDirectives puts a state into force in place of the present one, except for directives that have expired.
// Of several for one endpoint the last counts.
func (p *persistentState) installDirectives(state directiveState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = state.Revision
	previous := p.directives
	p.directives = make(map[string]persistence.DrainDirective)
	for _, directive := range state.Directives {
		if !directive.Expired(time.Now()) {
			p.directives[directive.Endpoint] = directive
		}
	}
	for endpoint := range previous {
		if _, inForce := p.directives[endpoint]; !inForce {
			p.proxy.SetDrain(endpoint, false)
			p.relay.log.Info("drain directive no longer in force", "server", endpoint)
		}
	}
	for endpoint, directive := range p.directives {
		p.proxy.SetDrain(endpoint, true)
		if old, known := previous[endpoint]; !known || !old.Equal(&directive) {
			p.relay.log.Info("drain directive in force", "server", endpoint, "who", directive.By, "since", directive.Since, "why", directive.Reason)
		}
	}
}

// directiveState returns the directives in force, for another process of this relay.
func (p *persistentState) directiveState() directiveState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return directiveState{Revision: p.revision, Directives: p.sortedDirectives()}
}

// mergeDirectives puts the directives of another process of this relay into force, unless this one has newer ones.
// From then on both have the same.
func (p *persistentState) mergeDirectives(state directiveState) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.mu.Lock()
	previous := p.revision
	p.inSync = true
	p.mu.Unlock()
	if state.Revision < previous {
		return
	}
	p.installDirectives(state)
	p.relay.publishState()
	if state.Revision > previous {
		p.resendNeeded = true // a successor that serves already learns it with the next tick
	}
}

// replaceDirectives carries out a change that the predecessor passes on: it puts the directives into force, here and
// at a successor that serves in place of this process. After an error the previous ones are in force here.
func (p *persistentState) replaceDirectives(ctx context.Context, state directiveState) error {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	previous := p.directiveState()
	if state.Revision < previous.Revision {
		return errOutdatedDirectives
	}
	p.installDirectives(state)
	p.relay.publishState()
	served, err := p.relay.callSuccessor(ctx, methodDirectives, state, nil)
	if err == nil && !served && state.Added != "" {
		err = p.requireListed(state.Added)
	}
	if err != nil {
		previous.Revision = state.Revision
		p.installDirectives(previous)
		p.relay.publishState()
	}
	return err
}

// setDirective puts a directive for an endpoint into force, or none if it is nil, and returns the previous one. The
// caller holds changeMu.
func (p *persistentState) setDirective(endpoint string, directive *persistence.DrainDirective) (previous *persistence.DrainDirective) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, inForce := p.directives[endpoint]; inForce {
		previous = &old
	}
	if directive == nil {
		delete(p.directives, endpoint)
	} else {
		p.directives[endpoint] = *directive
	}
	p.revision++
	if p.store == nil {
		p.unsaved[endpoint] = true
	}
	p.proxy.SetDrain(endpoint, directive != nil)
	return previous
}

// changeDirective puts a directive for an endpoint into force, or none if it is nil, in this process and in the one
// that serves the clients. After an error the previous one is in force again. The caller holds changeMu.
func (p *persistentState) changeDirective(ctx context.Context, endpoint string, directive *persistence.DrainDirective) (previous *persistence.DrainDirective, err error) {
	previous = p.setDirective(endpoint, directive)
	p.relay.publishState()
	state := p.directiveState()
	if directive != nil {
		state.Added = endpoint
	}
	served, err := p.relay.callSuccessor(ctx, methodDirectives, state, nil)
	if err == nil && !served && directive != nil {
		err = p.requireListed(endpoint)
	}
	if err != nil {
		p.setDirective(endpoint, previous)
		p.resendDirectives(ctx)
	}
	return previous, err
}

// resendDirectives passes the directives in force on to the successor after a change that it may have carried out
// although this process has taken it back. If that fails, it is repeated with the next tick.
func (p *persistentState) resendDirectives(ctx context.Context) {
	p.relay.publishState()
	_, err := p.relay.callSuccessor(ctx, methodDirectives, p.directiveState(), nil)
	p.resendNeeded = err != nil
}

// Drain sets a drain directive, which takes effect immediately, and returns the one that it replaces, if any.
// storeErr is set if the directive could not be stored and won't survive a restart. err is set if the endpoint
// is not in the endpoint list, or if another process serves the clients and did not confirm the directive; the
// previous one is in force then.
func (p *persistentState) Drain(ctx context.Context, directive persistence.DrainDirective) (previous *persistence.DrainDirective, storeErr, err error) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	previous, err = p.changeDirective(ctx, directive.Endpoint, &directive)
	if err != nil {
		return nil, nil, err
	}
	p.relay.log.Warn("drain directive set", "server", directive.Endpoint, "who", directive.By, "until", directive.Until, "why", directive.Reason)
	return previous, p.saveDirective(ctx, directive), nil
}

// Undrain withdraws a directive and returns it. storeErr is set if the removal could not be stored, so that the
// directive will be in force again after a restart. err is set if the endpoint has no directive, or if another
// process serves the clients and did not confirm the withdrawal; the directive stays in force then.
func (p *persistentState) Undrain(ctx context.Context, endpoint, by string) (withdrawn persistence.DrainDirective, storeErr, err error) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.mu.Lock()
	_, inForce := p.directives[endpoint]
	p.mu.Unlock()
	if !inForce {
		return withdrawn, nil, fmt.Errorf("no order is in force for server %q; the orders command lists all orders", endpoint)
	}
	previous, err := p.changeDirective(ctx, endpoint, nil)
	if err != nil {
		return withdrawn, nil, err
	}
	p.relay.log.Warn("drain directive withdrawn", "server", endpoint, "who", by)
	return *previous, p.eraseDirective(ctx, endpoint), nil
}

// DrainDirectives returns the directives in force, sorted by endpoint name.
func (p *persistentState) DrainDirectives() []persistence.DrainDirective {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sortedDirectives()
}

// sortedDirectives returns the directives in force, sorted by endpoint name. The caller holds p.mu.
func (p *persistentState) sortedDirectives() []persistence.DrainDirective {
	var all []persistence.DrainDirective
	for _, directive := range p.directives {
		all = append(all, directive)
	}
	slices.SortFunc(all, func(x, y persistence.DrainDirective) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// expireDirectives removes expired directives, and repeats what resendDirectives could not do.
func (p *persistentState) expireDirectives(ctx context.Context, now time.Time) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	if p.resendNeeded {
		p.resendDirectives(ctx)
	}
	for _, directive := range p.DrainDirectives() {
		if directive.Expired(now) {
			p.expireDirective(ctx, directive)
		}
	}
}

// expireDirective ends an endpoint's drain and removes its directive from the store. Each process of the relay does
// so by itself. The caller holds changeMu.
func (p *persistentState) expireDirective(ctx context.Context, directive persistence.DrainDirective) {
	p.mu.Lock()
	delete(p.directives, directive.Endpoint)
	p.proxy.SetDrain(directive.Endpoint, false)
	hasStore := p.store != nil
	p.mu.Unlock()
	p.relay.log.Info("drain directive expired", "server", directive.Endpoint, "who", directive.By)
	if err := p.eraseDirective(ctx, directive.Endpoint); err != nil && hasStore {
		p.relay.log.Error("failed to remove expired drain directive from store", "server", directive.Endpoint, "error", err)
	}
}

// saveDirective stores a directive. The caller holds changeMu.
func (p *persistentState) saveDirective(ctx context.Context, directive persistence.DrainDirective) error {
	return p.commit(ctx, func(ctx context.Context) error { return p.directiveTable().Commit(ctx, directive.Endpoint, directive) })
}

// eraseDirective removes an endpoint's directive from the store. The caller holds changeMu.
func (p *persistentState) eraseDirective(ctx context.Context, endpoint string) error {
	return p.commit(ctx, func(ctx context.Context) error { return p.directiveTable().Remove(ctx, endpoint) })
}

// commit makes a change to the store and waits at most directiveCommitTimeout for it. The caller holds changeMu.
func (p *persistentState) commit(ctx context.Context, change func(context.Context) error) error {
	p.mu.Lock()
	hasStore, storeErr := p.store != nil, p.storeErr
	p.mu.Unlock()
	if !hasStore {
		return storeErr
	}
	ctx, cancel := context.WithTimeout(ctx, directiveCommitTimeout)
	defer cancel()
	return change(ctx)
}
