package console

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/healthcheck"
	"lockroad/internal/registry"
)

// This file has the commands that show the state of the relay, its endpoints and its requests.

// viewTimeout limits the wait for the balancer's view of the endpoints, which the proxy's event
// loop collects.
const viewTimeout = time.Second

// status shows the relay's counters since its start.
func (s *Server) status(out io.Writer) {
	counters := s.Proxy.Counters
	writeTable(out, nil, func(row rowFunc) {
		row("relay", s.Name)
		row("transactions", counters.Requests.Load())
		for stage, count := range s.Proxy.Requests.CountByStage() {
			row("  "+registry.Stage(stage).String(), count)
		}
		for _, end := range counters.Ends() {
			row(end.Name, end.Count)
		}
		for status, name := range registry.StatusNames {
			row("passes "+name, counters.Attempts(balancer.AttemptStatus(status)))
		}
		row("bad openings", counters.ProtocolErrors.Load())
		row("broken invariants", assert.Violations())
	})
}

// endpointList shows all known endpoints with their states.
func (s *Server) endpointList(out io.Writer) {
	writeTable(out, []string{"SERVER", "ADDRESS", "PHASE"}, func(row rowFunc) {
		for _, endpoint := range s.Proxy.Endpoints.List() {
			row(endpoint.Name, endpoint.Address, s.stateText(endpoint))
		}
	})
}

// endpointViews shows the balancer's view of the endpoints, without those that are gone and have no
// requests left.
func endpointViews(ctx context.Context, s *Server, _ call, out io.Writer) error {
	requests := s.requestsByEndpoint(ctx)
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	views := s.Proxy.EndpointViews(ctx)
	header := []string{"SERVER", "STATE", "TRANSACTIONS", "DELAY", "LOAD", "AVOIDED", "ADDRESS"}
	writeTable(out, header, func(row rowFunc) {
		for _, endpoint := range s.Proxy.Endpoints.List() {
			if endpoint.State == balancer.StateGone && requests[endpoint.Name] == 0 {
				continue
			}
			var delay, load, avoided any // nil: unknown or none
			if view, known := views[endpoint.ID]; known {
				if view.Delay > 0 {
					delay = view.Delay.Round(100 * time.Microsecond)
				}
				load = math.Round(view.Load*10) / 10
				if view.AvoidedReason != "" {
					avoided = view.AvoidedReason
				}
			}
			row(endpoint.Name, s.stateText(endpoint), requests[endpoint.Name], delay, load, avoided, endpoint.Address)
		}
	})
	return nil
}

// stateText returns the name of an endpoint's state, with a remark if it drains because of a drain
// directive.
func (s *Server) stateText(endpoint registry.Endpoint) string {
	if endpoint.State == balancer.StateDraining && s.Proxy.HasDrainDirective(endpoint.Name) {
		return registry.StateName(endpoint.State) + ", as ordered"
	}
	return registry.StateName(endpoint.State)
}

// requestsByEndpoint counts the requests at each endpoint, including attempts in progress.
func (s *Server) requestsByEndpoint(ctx context.Context) map[string]int {
	if s.Requests != nil {
		return s.Requests(ctx)
	}
	return s.Proxy.RequestsByEndpoint()
}

// requests shows the requests in progress.
func (s *Server) requests(out io.Writer) {
	names := make(map[balancer.EndpointID]string)
	for _, endpoint := range s.Proxy.Endpoints.List() {
		names[endpoint.ID] = endpoint.Name
	}
	now := s.Proxy.Clock.Now()
	header := []string{"NUMBER", "FRONT", "NAME", "CLASS", "STAGE", "SERVER", "PASSES", "AGE"}
	writeTable(out, header, func(row rowFunc) {
		for _, request := range s.Proxy.Requests.List() {
			var endpoint any // nil: not assigned yet
			if request.Stage != registry.StageWaiting {
				endpoint = names[request.Endpoint]
			}
			age := (now - request.Since).Round(time.Millisecond)
			row(request.Number, request.Frontend, request.Name, request.Class, request.Stage, endpoint, request.Attempts, age)
		}
	})
}

// frontends shows the frontends and their listening addresses.
func (s *Server) frontends(out io.Writer) {
	writeTable(out, []string{"FRONT", "LISTENS"}, func(row rowFunc) {
		for _, frontend := range s.Frontends {
			row(frontend.Name, frontend.Address)
		}
	})
}

// health shows the result of the endpoints' health checks.
func (s *Server) health(out io.Writer) {
	if s.Health == nil {
		fmt.Fprintln(out, "discovery tells which servers are up; farm has them")
		return
	}
	endpoints, panicMode := s.Health()
	if panicMode {
		fmt.Fprintln(out, "most seem to be down: this box is doubted first, and all are listed as up")
	}
	writeTable(out, []string{"SERVER", "STATE", "FOR", "FAILED IN A ROW", "WHY"}, func(row rowFunc) {
		for _, endpoint := range endpoints {
			state, since := "up", any(nil)
			if endpoint.State == healthcheck.StateDown {
				state, since = "down", endpoint.DownFor.Round(time.Second)
			}
			row(endpoint.Name, state, since, endpoint.ConsecutiveFailures, endpoint.Reason)
		}
	})
}
