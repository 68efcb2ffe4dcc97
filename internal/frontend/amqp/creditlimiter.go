package amqp

import (
	"sync"

	"lockroad/internal/frontend/amqp/framing"
)

// creditLimiter is the credit that a link's client has: that of its server, but no more than
// ahead of what the server has been sent.
type creditLimiter struct {
	mu            sync.Mutex
	initialized   bool
	deliveryCount uint32               // deliveries that the server has been sent, by the client's count
	endpointLimit uint32               // delivery count up to which the server takes deliveries
	clientLimit   uint32               // and the client has been told
	lastFlow      framing.Performative // the server's last flow
}

// limitFlow takes a flow of the server and returns what the client is told. One that
// wants the credit used up, or speaks of no credit, is passed as it is.
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
	c.clientLimit = c.endpointLimit
	if aheadLimit := c.deliveryCount + maxDeliveriesAhead; int32(c.endpointLimit-aheadLimit) > 0 {
		c.clientLimit = aheadLimit
	}
	if int32(c.clientLimit-deliveryCount) < 0 {
		c.clientLimit = deliveryCount
	}
	return flow.With(framing.FlowLinkCredit, c.clientLimit-deliveryCount)
}

// deliverySent counts a delivery that the server has been sent. It returns a flow for the client
// once enough have been that more may follow.
func (c *creditLimiter) deliverySent() (framing.Performative, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveryCount++
	if !c.initialized || c.clientLimit == c.endpointLimit || int32(c.deliveryCount+maxDeliveriesAhead-c.clientLimit) < maxDeliveriesAhead/2 {
		return framing.Performative{}, false
	}
	c.clientLimit = c.endpointLimit
	if aheadLimit := c.deliveryCount + maxDeliveriesAhead; int32(c.endpointLimit-aheadLimit) > 0 {
		c.clientLimit = aheadLimit
	}
	return c.lastFlow.With(framing.FlowDeliveryCount, c.deliveryCount).With(framing.FlowLinkCredit, c.clientLimit-c.deliveryCount), true
}
