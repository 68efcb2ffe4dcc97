package amqp

import (
	"sync"

	"lockroad/internal/frontend/amqp/framing"
)

// creditLimiter limits the link credit that a sending client gets: that of its endpoint, but at most maxDeliveriesAhead
// deliveries beyond those that the endpoint has been sent.
type creditLimiter struct {
	mu            sync.Mutex
	initialized   bool
	deliveryCount uint32               // deliveries that the endpoint has been sent, by the client's delivery-count
	endpointLimit uint32               // delivery-count up to which the endpoint has granted credit
	clientLimit   uint32               // delivery-count up to which the client has been granted credit
	lastFlow      framing.Performative // of the endpoint
}

// limitFlow takes a flow of the endpoint and returns the one for the client. A flow that drains the link, or grants no
// credit, is returned as it is.
func (c *creditLimiter) limitFlow(flow framing.Performative) framing.Performative {
	c.mu.Lock()
	defer c.mu.Unlock()
	if flow.Field(framing.FlowLinkCredit) == nil || flow.Bool(framing.FlowDrain) {
		return flow
	}
	deliveryCount := flow.Uint32(framing.FlowDeliveryCount, 0)
	if !c.initialized {
		c.initialized, c.deliveryCount = true, deliveryCount
	}
	c.lastFlow, c.endpointLimit = flow, deliveryCount+flow.Uint32(framing.FlowLinkCredit, 0)
	c.clientLimit = c.nextClientLimit()
	if int32(c.clientLimit-deliveryCount) < 0 {
		c.clientLimit = deliveryCount
	}
	return flow.With(framing.FlowLinkCredit, c.clientLimit-deliveryCount)
}

// nextClientLimit returns the delivery-count up to which the client may be granted credit now. The caller holds the lock.
// Delivery-counts wrap around (RFC 1982): they are compared by their difference.
func (c *creditLimiter) nextClientLimit() uint32 {
	aheadLimit := c.deliveryCount + maxDeliveriesAhead
	if int32(c.endpointLimit-aheadLimit) > 0 {
		return aheadLimit
	}
	return c.endpointLimit
}

// deliverySent counts a delivery that the endpoint has been sent. It returns a flow for the client, and true, once half of
// what the client may send ahead can be granted anew.
func (c *creditLimiter) deliverySent() (framing.Performative, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveryCount++
	if !c.initialized || c.clientLimit == c.endpointLimit || int32(c.deliveryCount+maxDeliveriesAhead-c.clientLimit) < maxDeliveriesAhead/2 {
		return framing.Performative{}, false
	}
	c.clientLimit = c.nextClientLimit()
	return c.lastFlow.With(framing.FlowDeliveryCount, c.deliveryCount).With(framing.FlowLinkCredit, c.clientLimit-c.deliveryCount), true
}
