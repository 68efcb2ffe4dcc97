package decisionlog

import (
	"math"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// This file encodes an entry in words: a head, then its events. The encoding is used only
// in memory and may change between versions.

// Indexes of the words of a head block, after its link word.
const (
	headNumber = 1 + iota
	headStartedAt
	headGroup
	headFlow
	headTimeLimit
	headLoad
	headAttributes // class, frontend, flags, length of the name, tenant
	headHash       // hash of the whole name
	headName       // first of the words with the first bytes of the name
)

const (
	bytesPerWord = 8
	maxNameBytes = bytesPerWord * (blockWords - headName) // longer names are truncated
)

// Flags in the attributes of a head.
const (
	flagReturning     = 1 << iota
	flagResumed       // the request was established before the start of this process
	flagHeadEvicted   // the first events were evicted
	flagEventsOmitted // events were omitted for lack of space
	flagHeld          // the request was made to wait
	flagFailed        // the request is notable for a reason other than waiting: see the package comment
	_                 // unused
	flagEnded
)

// The first word of an event has its kind (8 bits) and its length in words (8 bits), the
// second word its time. The rest depends on the kind.
const (
	shortEventWords = 3 // length of an event with a single word of data
	decisionWords   = 6 // length of a decision without its considered endpoints
	consideredWords = 3 // length of each considered endpoint

	repeatsWord  = 2 // index of the word of a decision that has the number of its repetitions
	repeatsShift = 32
	maxRepeats   = 0xffff
)

// encodeDecision appends the words of a decision event.
func encodeDecision(to []uint64, decision *balancer.Decision) []uint64 {
	considered := len(decision.Considered)
	to = append(to,
		uint64(EventDecision)|
			uint64(decisionWords+consideredWords*considered)<<8|
			uint64(decision.Verdict)<<16|
			uint64(decision.Reason)<<24|
			uint64(min(decision.Attempt, 255))<<32|
			uint64(considered)<<40|
			uint64(decision.PreferredIndex+1)<<48,
		uint64(decision.At),
		uint64(decision.Endpoint)|uint64(min(decision.ReadyEndpoints, 0xffff))<<48, // bits 32 to 47: repetitions
		clampToUnits(decision.Wait, time.Microsecond)|clampToUnits(decision.TimeLeft, time.Microsecond)<<32,
		decision.Revision,
		encodeOptionalAge(decision.ListAge)|encodeFraction(decision.SlowShare)<<32)
	for i := range decision.Considered {
		endpoint := &decision.Considered[i]
		to = append(to,
			uint64(endpoint.Endpoint)|
				uint64(endpoint.State)<<32|
				uint64(endpoint.Exclusions)<<34|
				encodeFraction(endpoint.Weight)<<48,
			uint64(math.Float32bits(float32(endpoint.Load)))|
				encodeFraction(endpoint.Warmth)<<32|
				encodeFraction(endpoint.Probability)<<48,
			clampToUnits(endpoint.Delay, time.Microsecond)|encodeOptionalAge(endpoint.DelayAge)<<32)
	}
	return to
}

// decodeDecision decodes the words of a decision event. The considered endpoints are stored
// in the entry's buffer.
func (e *Entry) decodeDecision(words []uint64) balancer.Decision {
	decision := balancer.Decision{
		At:             time.Duration(words[1]),
		Verdict:        balancer.Verdict(words[0] >> 16),
		Reason:         balancer.Reason(words[0] >> 24),
		Attempt:        int(words[0] >> 32 & 0xff),
		PreferredIndex: int(words[0]>>48&0xff) - 1,
		Endpoint:       balancer.EndpointID(words[2]),
		ReadyEndpoints: int(words[2] >> 48),
		Wait:           decodeMicroseconds(words[3]),
		TimeLeft:       decodeMicroseconds(words[3] >> 32),
		Revision:       words[4],
		ListAge:        decodeOptionalAge(words[5]),
		SlowShare:      decodeFraction(words[5] >> 32),
	}
	first := len(e.considered)
	for rest := words[decisionWords:]; len(rest) >= consideredWords; rest = rest[consideredWords:] {
		e.considered = append(e.considered, balancer.ConsideredEndpoint{
			Endpoint:    balancer.EndpointID(rest[0]),
			State:       balancer.EndpointState(rest[0] >> 32 & 3),
			Exclusions:  balancer.Exclusions(rest[0] >> 34 & 0x3fff),
			Weight:      decodeFraction(rest[0] >> 48),
			Load:        float64(math.Float32frombits(uint32(rest[1]))),
			Warmth:      decodeFraction(rest[1] >> 32),
			Probability: decodeFraction(rest[1] >> 48),
			Delay:       decodeMicroseconds(rest[2]),
			DelayAge:    decodeOptionalAge(rest[2] >> 32),
		})
	}
	if last := len(e.considered); last > first {
		decision.Considered = e.considered[first:last:last]
	}
	return decision
}

// encodeResult encodes a result in one word.
func encodeResult(result proxy.Result) uint64 {
	return min(uint64(result.RetryAfter/time.Microsecond), math.MaxUint32) |
		uint64(result.End)<<32 |
		uint64(result.Cause)<<40 |
		uint64(result.Status)<<48
}

func decodeResult(word uint64) proxy.Result {
	return proxy.Result{
		RetryAfter: decodeMicroseconds(word),
		End:        registry.End(word >> 32),
		Cause:      proxy.EndCause(word >> 40),
		Status:     balancer.AttemptStatus(word >> 48),
	}
}

// decodeEntry decodes the words of a chain into an entry, and reuses its buffers.
func (l *Log) decodeEntry(entry *Entry, words []uint64) {
	attributes, flags := words[headAttributes], words[headAttributes]>>16&0xffff
	has := func(flag uint64) bool { return flags&flag != 0 }
	*entry = Entry{
		Events:        entry.Events[:0],
		considered:    entry.considered[:0],
		headBlock:     entry.headBlock,
		Number:        words[headNumber],
		StartedAt:     time.Duration(words[headStartedAt]),
		Group:         words[headGroup],
		Flow:          words[headFlow],
		TimeLimit:     time.Duration(words[headTimeLimit]),
		ExpectedLoad:  math.Float64frombits(words[headLoad]),
		Class:         l.internedName(attributes & 0xff),
		Frontend:      l.internedName(attributes >> 8 & 0xff),
		Tenant:        l.internedName(attributes >> 40 & 0xff),
		Returning:     has(flagReturning),
		Resumed:       has(flagResumed),
		HeadEvicted:   has(flagHeadEvicted),
		EventsOmitted: has(flagEventsOmitted),
		Notable:       has(flagHeld) || has(flagFailed),
		Pinned:        categoryOf(words[0]) == categoryPinned,
		Ended:         has(flagEnded),
		nameHash:      words[headHash],
	}
	nameLength := min(int(attributes>>32&0xff), maxNameBytes)
	entry.Name = unpackBytes(words[headName:], nameLength)
	entry.NameTruncated = hashName(entry.Name) != entry.nameHash
	entry.decodeEvents(words[blockWords:])
}

// decodeEvents decodes events up to the end of the words or an invalid length.
func (e *Entry) decodeEvents(words []uint64) {
	for len(words) > 0 {
		length := int(words[0] >> 8 & 0xff)
		if length < shortEventWords || length > len(words) {
			return
		}
		e.Events = append(e.Events, e.decodeEvent(words[:length]))
		words = words[length:]
	}
}

func (e *Entry) decodeEvent(words []uint64) Event {
	event := Event{Kind: EventKind(words[0] & 0xff), At: time.Duration(words[1])}
	switch event.Kind {
	case EventDecision:
		event.Repeats = int(words[repeatsWord] >> repeatsShift & maxRepeats)
		event.Decision = e.decodeDecision(words)
	case EventAttemptStarted:
		event.Endpoint = balancer.EndpointID(words[2])
	case EventAttemptEnded:
		event.Endpoint, event.Status = balancer.EndpointID(words[2]), balancer.AttemptStatus(words[2]>>32)
	case EventEnded:
		event.Result = decodeResult(words[2])
	}
	return event
}

// hashName returns the FNV-1a hash of a name without allocating a hash.Hash.
func hashName(name string) uint64 {
	const offset, prime = 0xcbf29ce484222325, 0x100000001b3
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}

// packBytes packs up to eight bytes of a name, from an offset on, into a word.
func packBytes(name string, offset int) (word uint64) {
	for i := offset; i < min(len(name), offset+bytesPerWord); i++ {
		word |= uint64(name[i]) << (8 * (i - offset))
	}
	return word
}

// unpackBytes returns the name that packBytes packed into words.
func unpackBytes(words []uint64, length int) string {
	name := make([]byte, length)
	for i := range name {
		name[i] = byte(words[i/bytesPerWord] >> (8 * (i % bytesPerWord)))
	}
	return string(name)
}

// clampToUnits returns a duration as a number of units, clamped to 32 bits.
func clampToUnits(duration, unit time.Duration) uint64 {
	return uint64(min(max(duration/unit, 0), math.MaxUint32))
}

func decodeMicroseconds(word uint64) time.Duration {
	return time.Duration(word&math.MaxUint32) * time.Microsecond
}

// encodeOptionalAge returns an age in milliseconds plus one, or 0 for an unknown age, which
// is negative.
func encodeOptionalAge(age time.Duration) uint64 {
	return clampToUnits(age+time.Millisecond, time.Millisecond)
}

func decodeOptionalAge(word uint64) time.Duration {
	if word &= math.MaxUint32; word > 0 {
		return time.Duration(word-1) * time.Millisecond
	}
	return -1
}

const maxFraction = 0xffff // encodes 1

// encodeFraction encodes a number from 0 to 1 in 16 bits.
func encodeFraction(x float64) uint64 {
	return uint64(math.Round(min(max(x, 0), 1) * maxFraction))
}

func decodeFraction(word uint64) float64 { return float64(word&maxFraction) / maxFraction }
