package balancer

import "time"

const (
	// minWeight and maxWeight limit the controller's weights. An endpoint with the minimum weight still
	// gets some requests, which show when it works again.
	minWeight = 0.05
	maxWeight = 1.0

	// initialWeight is the weight of an endpoint that is new or has restarted.
	initialWeight = 0.5

	// weightIncrease is added to the weight for each established connection.
	weightIncrease = 0.05

	// weightCutFactor is the share of its weight that an endpoint keeps after a failure.
	weightCutFactor = 0.6

	// weightRecoveryTime is the time in which a weight rises by 1 without attempts.
	weightRecoveryTime = 30 * time.Second
)

// currentWeight returns the controller's weight of the endpoint, from minWeight to maxWeight. It also rises
// over time, as an endpoint with the minimum weight gets few attempts that could raise it.
func (e *endpointRecord) currentWeight(now time.Duration) float64 {
	return min(maxWeight, e.weight+float64(now-e.weightSetAt)/float64(weightRecoveryTime))
}

// cutWeight multiplies the weight by a factor; the result is at least minWeight.
func (e *endpointRecord) cutWeight(factor float64, now time.Duration) {
	e.weight, e.weightSetAt = max(minWeight, e.currentWeight(now)*factor), now
}

// raiseWeight raises the weight by weightIncrease.
func (e *endpointRecord) raiseWeight(now time.Duration) {
	e.weight, e.weightSetAt = min(maxWeight, e.currentWeight(now)+weightIncrease), now
}
