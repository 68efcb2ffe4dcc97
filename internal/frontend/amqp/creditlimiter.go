package amqp

import (
	"sync"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// creditLimiter limits the link credit that the sender of a link gets to that of the receiver, and such that at most
// maxUnsettledDeliveries are unsettled and at most maxAhead have arrived at the relay and wait to be passed on.
//
// All counts are delivery-counts (section 2.6.7): they start at the sender's initial-delivery-count and wrap around (RFC
// 1982), so they are compared by their signed difference. Flows to the sender are sent with the lock held, as an older
// one that is sent last would take credit back.
type creditLimiter struct {
	maxAhead uint32                           // 0: no limit
	send     func(framing.Performative) error // sends a flow to the sender

	mu            sync.Mutex
	initialCount  uint32
	arrived       uint32 // after the deliveries that have arrived, at least in part
	passedOn      uint32 // as many as were sent to the receiver
	finished      uint32 // as many as are settled or aborted
	receiverLimit uint32 // up to which the receiver has granted credit
	senderLimit   uint32 // up to which the sender has been granted credit
	draining      bool   // the receiver has asked the sender to use up its credit
}

// newCreditLimiter returns a limiter of a link that is established.
func newCreditLimiter(initialCount, maxAhead uint32, send func(framing.Performative) error) *creditLimiter {
	return &creditLimiter{
		maxAhead: maxAhead, send: send, initialCount: initialCount,
		arrived: initialCount, passedOn: initialCount, finished: initialCount,
		receiverLimit: initialCount, senderLimit: initialCount,
	}
}

// forwardReceiverFlow sends a flow of the receiver to the sender, with its credit limited.
func (c *creditLimiter) forwardReceiverFlow(flow framing.Performative) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if flow.Field(framing.FlowLinkCredit) != nil {
		deliveryCount := flow.Uint32(framing.FlowDeliveryCount, c.initialCount)
		c.draining = flow.Bool(framing.FlowDrain)
		c.receiverLimit = deliveryCount + flow.Uint32(framing.FlowLinkCredit, 0)
		c.senderLimit = c.nextSenderLimit()
		if int32(c.senderLimit-deliveryCount) < 0 {
			c.senderLimit = deliveryCount
		}
		flow = flow.With(framing.FlowLinkCredit, c.senderLimit-deliveryCount)
	}
	return c.send(flow)
}

// senderFlow applies a flow of the sender. A sender that drains advances its delivery-count without deliveries.
func (c *creditLimiter) senderFlow(flow framing.Performative) {
	c.mu.Lock()
	defer c.mu.Unlock()
	skipped := flow.Uint32(framing.FlowDeliveryCount, c.arrived) - c.arrived
	if int32(skipped) > 0 {
		c.arrived, c.passedOn, c.finished = c.arrived+skipped, c.passedOn+skipped, c.finished+skipped
	}
	if c.draining && flow.Field(framing.FlowLinkCredit) != nil && flow.Uint32(framing.FlowLinkCredit, 0) == 0 {
		c.receiverLimit, c.senderLimit = c.arrived, c.arrived
	}
}

// deliveryArrived counts a delivery whose first transfer has arrived.
func (c *creditLimiter) deliveryArrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived++
}

// deliveryPassedOn counts a delivery that was sent to the receiver, and grants the sender more credit when due.
func (c *creditLimiter) deliveryPassedOn() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passedOn++
	return c.grant()
}

// deliveriesFinished counts deliveries that are settled or aborted, and grants the sender more credit when due.
func (c *creditLimiter) deliveriesFinished(count int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished += uint32(count)
	return c.grant()
}

// minCreditUpdate is the smallest growth of the sender's credit for which grant sends a flow, unless it grants all that
// the receiver has granted.
const minCreditUpdate = maxDeliveriesAhead / 2

// grant sends the sender a flow with more credit when that is due. The caller holds the lock.
func (c *creditLimiter) grant() error {
	limit := c.nextSenderLimit()
	growth := int32(limit - c.senderLimit)
	if growth <= 0 || growth < minCreditUpdate && limit != c.receiverLimit {
		return nil
	}
	c.senderLimit = limit
	return c.send(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{
		nil, nil, nil, nil, nil, c.arrived, limit - c.arrived, nil, c.draining,
	}})
}

// nextSenderLimit returns the delivery-count up to which the sender may be granted credit. The caller holds the lock.
func (c *creditLimiter) nextSenderLimit() uint32 {
	limit := earlier(c.receiverLimit, c.finished+maxUnsettledDeliveries)
	if c.maxAhead > 0 {
		limit = earlier(limit, c.passedOn+c.maxAhead)
	}
	return limit
}

// earlier returns the smaller one of two delivery-counts.
func earlier(a, b uint32) uint32 {
	if int32(a-b) < 0 {
		return a
	}
	return b
}
