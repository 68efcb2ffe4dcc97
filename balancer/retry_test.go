package balancer

import (
	"testing"
	"time"
)

func TestRetryBacksOffAndAvoidsTriedEndpoints(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 4
	relay := newTestRelay(t, settings, readyEndpoints(4)...)
	relay.connect(7)
	relay.lastID++
	id := relay.lastID
	endpoint := relay.wantSent(relay.handle(Request{ID: id, Group: 7, TimeLeft: 10 * time.Second}), id)
	tried := map[EndpointID]bool{endpoint: true}
	for _, wait := range []time.Duration{100 * ms, 200 * ms, 400 * ms} {
		wantActions(t, relay.fail(id, endpoint, StatusFull))
		wantActions(t, relay.advance(wait-1))
		endpoint = relay.wantSent(relay.advance(1), id)
		if tried[endpoint] {
			t.Fatalf("request %d was sent to endpoint %d twice", id, endpoint)
		}
		tried[endpoint] = true
	}
	wantActions(t, relay.fail(id, endpoint, StatusFull), Reject{Request: id})
}

func TestBackoffPastTheDeadlineRejectsTheRequest(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	endpoint := relay.wantSent(relay.handle(Request{ID: 1, TimeLeft: 90 * ms}), 1)
	wantActions(t, relay.fail(1, endpoint, StatusFull), Reject{Request: 1})
}

// Guards against repeats and rejections that could make a request execute twice, for each class and outcome.
func TestRetryStaysWithinDeduplicationScope(t *testing.T) {
	endpoints := []Endpoint{
		{ID: 1, State: StateReady, Size: 1, Zone: 0, Cell: 0},
		{ID: 2, State: StateReady, Size: 1, Zone: 0, Cell: 1},
		{ID: 3, State: StateReady, Size: 1, Zone: 1, Cell: 2},
		{ID: 4, State: StateReady, Size: 1, Zone: 0, Cell: 0},
		{ID: 5, State: StateReady, Size: 1, Zone: 1, Cell: 2},
	}
	zone := map[EndpointID]int{1: 0, 2: 0, 3: 1, 4: 0, 5: 1}
	cell := map[EndpointID]int{1: 0, 2: 1, 3: 2, 4: 0, 5: 2}
	mayHaveRun := map[AttemptStatus]bool{StatusError: true, StatusTimeout: true, StatusReset: true, StatusCancelled: true}
	for _, class := range []Class{
		{Semantics: Idempotent},
		{Semantics: Deduplicated, DeduplicationScope: ScopeAll, DeduplicationWindow: 5 * time.Second},
		{Semantics: Deduplicated, DeduplicationScope: ScopeZone, DeduplicationWindow: 5 * time.Second},
		{Semantics: Deduplicated, DeduplicationScope: ScopeCell, DeduplicationWindow: 5 * time.Second},
		{Semantics: Deduplicated, DeduplicationScope: ScopeAll, DeduplicationWindow: 50 * ms},
		{Semantics: AtMostOnce},
	} {
		for _, status := range []AttemptStatus{StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset, StatusCancelled, StatusNotSent} {
			for key := uint64(1); key < 20; key++ {
				settings := testSettings()
				class.Deadline = 2 * time.Second
				settings.Classes = []Class{class}
				relay := newTestRelay(t, settings, endpoints...)
				id, actions := relay.request(key)
				first := relay.wantSent(actions, id)
				actions = append(relay.fail(id, first, status), relay.advance(150*ms)...)
				mayRepeat := !mayHaveRun[status] || class.Semantics == Idempotent ||
					class.Semantics == Deduplicated && class.DeduplicationWindow > 100*ms
				mayReject := !mayHaveRun[status] || class.Semantics == Idempotent ||
					class.Semantics == Deduplicated && class.DeduplicationScope == ScopeAll
				for _, action := range actions {
					switch action := action.(type) {
					case SendAttempt:
						if !mayRepeat {
							t.Errorf("class %+v, status %d: request was repeated", class, status)
						}
						scoped := mayHaveRun[status] && class.Semantics == Deduplicated
						if scoped && class.DeduplicationScope == ScopeZone && zone[action.Endpoint] != zone[first] ||
							scoped && class.DeduplicationScope == ScopeCell && cell[action.Endpoint] != cell[first] {
							t.Errorf("class %+v, status %d: request was sent to endpoint %d, then to %d outside the scope", class, status, first, action.Endpoint)
						}
					case Reject:
						if !mayReject {
							t.Errorf("class %+v, status %d: request was rejected, but may have been executed", class, status)
						}
					case Fail:
						if mayReject {
							t.Errorf("class %+v, status %d: request was failed, want a rejection", class, status)
						}
					}
				}
				if mayRepeat && class.DeduplicationScope == ScopeAll && countActions[SendAttempt](actions) != 1 {
					t.Errorf("class %+v, status %d: request was not repeated", class, status)
				}
			}
		}
	}
}

func TestUnknownClassIsNotRepeated(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	endpoint := relay.wantSent(relay.handle(Request{ID: 1, Class: 9, TimeLeft: time.Second}), 1)
	wantActions(t, relay.fail(1, endpoint, StatusError), Fail{Request: 1})
}
