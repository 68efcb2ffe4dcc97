// Package decisionlog is a fixed-size in-memory log of why recent requests were routed,
// rejected or migrated as they were.
//
// The proxy's event loop and the goroutines of requests append events without allocating.
// Readers copy whole entries and never block a writer; blockpool.go describes the memory
// layout and the synchronization. When the memory is full, whole entries are evicted, the
// oldest first, by these rules:
//
//   - Routine entries are evicted before notable ones. An entry is notable if its request
//     was rejected, failed, retried, made to wait, lost its endpoint, or was migrated off a
//     slow endpoint. Notable entries may use three quarters of the memory; beyond that, the
//     oldest notable entry is evicted first.
//   - An entry whose client still waits for an answer is evicted last.
//   - A pinned entry is not evicted until it is unpinned. Pinned entries may use an eighth
//     of the memory.
//
// The entry of a long-lived established request may be evicted before the request ends.
// Its later events are then recorded in a new entry, with Entry.HeadEvicted set.
//
// Users of a Log:
//
//  1. create it with New and register it as an observer of the proxy (proxy.Observe) before
//     the first request;
//  2. leave RequestStarted and the methods of the returned observer to the proxy, which
//     calls them from any goroutine; they block only while another writer appends an event;
//  3. may call the query methods (EntryByNumber, EntriesByName, Each, Related, Pin, Stats)
//     from any goroutine at any time;
//  4. must Clone an entry to keep it after the callback of Each or Related returns, as the
//     log reuses its memory.
package decisionlog
