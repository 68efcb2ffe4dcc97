package prober

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// maxAnswerBytes is the maximum length of an endpoint's answer to a probe.
const maxAnswerBytes = 64

const (
	probeRequest = "PING\r\n"
	probeAnswer  = "PONG\r\n"
)

// probe probes an endpoint and reports the outcome to the tracker, unless ctx is cancelled
// first.
func (p *Prober) probe(ctx context.Context, endpoint Endpoint, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := p.check(ctx, endpoint.Address)
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the relay is shutting down
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	p.tracker.ProbeEnded(p.Proxy.Clock.Now(), endpoint.Name, err == nil, reason)
	p.publishChanges()
}

// check connects to an endpoint and, if Ping is set, sends a PING and waits for the answer.
// It fails at ctx's deadline.
func (p *Prober) check(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if !p.Ping {
		return nil
	}
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := conn.Write([]byte(probeRequest)); err != nil {
		return err
	}
	answer, err := bufio.NewReaderSize(conn, maxAnswerBytes).ReadSlice('\n')
	if err != nil {
		return err
	}
	if string(answer) != probeAnswer {
		return fmt.Errorf("it answers %q to PING", answer)
	}
	return nil
}

// RequestStarted returns an observer of the request's attempts. It implements
// proxy.Observer.
func (p *Prober) RequestStarted(uint64, proxy.Request) proxy.RequestObserver {
	return attemptObserver{p}
}

// attemptObserver reports the outcomes of attempts to the tracker.
type attemptObserver struct{ *Prober }

func (attemptObserver) Decided(*balancer.Decision) {}
func (attemptObserver) Established()               {}
func (attemptObserver) Ended(proxy.Result)         {}

// AttemptStarted returns a function that reports the attempt's outcome to the tracker. An
// endpoint that rejects an attempt as full or redirects it is up. An attempt that was not
// sent or was cancelled is ignored.
func (o attemptObserver) AttemptStarted(endpoint balancer.EndpointID) func(status balancer.AttemptStatus) {
	return func(status balancer.AttemptStatus) {
		switch status {
		case balancer.StatusNotSent, balancer.StatusCancelled:
			return
		}
		ok := status == balancer.StatusOK || status == balancer.StatusFull || status == balancer.StatusRedirected
		o.mu.Lock()
		defer o.mu.Unlock()
		o.tracker.AttemptEnded(o.Proxy.Clock.Now(), o.Proxy.Endpoints.Name(endpoint), ok, "a pass: "+registry.StatusNames[status])
		o.publishChanges()
	}
}
