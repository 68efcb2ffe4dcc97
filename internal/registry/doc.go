// Package registry holds the state that the packages of a relay share: the endpoints, the
// open requests, and the counters. All types are safe for concurrent use, and no method
// blocks except on a mutex.
package registry
