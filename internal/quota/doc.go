// Package quota limits how much of the shared capacity one client address, or one class of
// requests, can use. It does no I/O: for each request a frontend calls Limiter.Acquire
// before it takes an admission slot, and calls the returned release function once the
// request has ended. It rejects a request that Acquire refuses.
package quota
