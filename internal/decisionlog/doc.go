// Package decisionlog keeps, within a fixed number of bytes, why each recent request was
// routed, rejected or migrated as it was.
//
// The proxy's event loop and the goroutines of requests write: a few words per event into
// memory that is allocated at the start, without further allocation. Readers copy whole
// entries and never block a writer; blockpool.go has the layout and the protocol between
// the two. When the memory is used up, whole entries are evicted, the oldest first, by
// these rules:
//
//   - Routine entries are evicted before notable ones. An entry is notable if its request
//     was rejected, failed, retried, made to wait, lost its endpoint, or was migrated off a
//     slow endpoint. Notable entries may use three quarters of the memory; beyond that, the
//     oldest of them is evicted.
//   - An entry whose client still waits for an answer is evicted last.
//   - A pinned entry stays until it is unpinned. Pinned entries may use an eighth of the
//     memory.
//
// A request that stays established for longer than the log reaches back may have been
// evicted by the time it ends. Its end is then kept on its own, and marked as all that is
// left (Entry.HeadEvicted).
//
// Whoever embeds a Log:
//
//  1. creates it with New and registers it as an observer of the proxy (proxy.Observe)
//     before the first request;
//  2. leaves Began and the methods of the observer that it returns to the proxy, which
//     calls them from any goroutine; none blocks for longer than another writer's few
//     stores;
//  3. may call the query methods (EntryByNumber, EntriesByName, Each, Related, Pin, Stats) from any
//     goroutine at any time;
//  4. in the callbacks of Each and Related keeps an entry only as a Clone, as the log
//     reuses the memory that it passes.
package decisionlog
