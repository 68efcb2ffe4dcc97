// Package registry holds the state that the parts of a relay share: the endpoints, the
// open requests, and the counters. All of it is safe for concurrent use, and nothing in
// it waits for more than a mutex.
package registry
