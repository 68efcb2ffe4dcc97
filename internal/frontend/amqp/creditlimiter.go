package amqp

import (
	"sync"

	"lockroad/internal/frontend/amqp/framing"
)

// creditLimiter limits the link credit of a sending client to its endpoint's credit, and to maxDeliveriesAhead
// deliveries beyond those sent to the endpoint.
type creditLimiter struct {
	mu            sync.Mutex
	initialized   bool
	deliveryCount uint32               // delivery-count after the deliveries sent to the endpoint
	endpointLimit uint32               // delivery-count up to which the endpoint has granted credit
	clientLimit   uint32               // delivery-count up to which the client has been granted credit
	lastFlow      framing.Performative // the endpoint's
}

// limitFlow returns the flow for the client that corresponds to a flow of the endpoint. A flow that drains the link or
// carries no link credit is returned unchanged.
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

// nextClientLimit returns the delivery-count up to which the client may be granted credit. The caller holds the lock.
// Delivery-counts wrap around (RFC 1982), so they are compared by their signed difference.
func (c *creditLimiter) nextClientLimit() uint32 {
	aheadLimit := c.deliveryCount + maxDeliveriesAhead
	if int32(c.endpointLimit-aheadLimit) > 0 {
		return aheadLimit
	}
	return c.endpointLimit
}

// deliverySent counts a delivery that was sent to the endpoint. It returns a flow for the client, and true, once at
// least half of maxDeliveriesAhead can be granted again.
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
