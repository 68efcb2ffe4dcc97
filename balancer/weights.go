package balancer

import "time"

const (
	// minWeight and maxWeight bound the controller's weights. An endpoint at the minimum still gets
	// some requests, by which it can show that it works again.
	minWeight = 0.05
	maxWeight = 1.0

	// initialWeight is that of an endpoint which is new or has restarted.
	initialWeight = 0.5

	// weightIncrease is added for each connection that is established.
	weightIncrease = 0.05

	// weightCutFactor is the share of its weight that an endpoint keeps after a failure.
	weightCutFactor = 0.6

	// weightRecoveryTime is the time in which a weight rises by 1 without any attempt.
	weightRecoveryTime = 30 * time.Second
)

// currentWeight is the controller's weight of the endpoint, from minWeight to maxWeight. It rises with
// time too: an endpoint at the minimum hardly sees an attempt that could raise it.
func (e *endpointRecord) currentWeight(now time.Duration) float64 {
	return min(maxWeight, e.weight+float64(now-e.weightSetAt)/float64(weightRecoveryTime))
}

// cutWeight lowers the weight to a share of itself.
func (e *endpointRecord) cutWeight(factor float64, now time.Duration) {
	e.weight, e.weightSetAt = max(minWeight, e.currentWeight(now)*factor), now
}

// raiseWeight raises the weight by one step.
func (e *endpointRecord) raiseWeight(now time.Duration) {
	e.weight, e.weightSetAt = min(maxWeight, e.currentWeight(now)+weightIncrease), now
}
