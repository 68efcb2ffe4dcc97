// Package quota keeps one client address, or one class, from taking the capacity that
// all share. It decides and does no I/O: a frontend calls Limiter.Acquire before it takes
// an admission slot for a request, and the release that Acquire returns once the request
// has ended. A request over its quota is rejected, with a retry-after by the balancer.
package quota
