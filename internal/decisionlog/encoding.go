package decisionlog

import (
	"math"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// This file has the layout of an entry in words: a head, then its events. Nothing of it
// leaves the process.

// Words of a head, after the link word of its block.
const (
	headNumber = 1 + iota
	headStartedAt
	headGroup
	headItem
	headTimeLimit
	headLoad
	headFacts // class, frontend, flags, length of the name, tenant
	headHash  // of the whole name
	headName  // its first bytes
)

const (
	bytesPerWord = 8
	maxNameBytes = bytesPerWord * (blockWords - headName) // of a name that are kept
)

// Flags among the facts of a head.
const (
	flagReturning     = 1 << iota
	flagResumed       // it was established before the start of this process
	flagHeadEvicted   // its first events were evicted
	flagEventsOmitted // it had more events than one entry may keep
	flagHeld          // it was made to wait
	flagFailed        // an attempt failed, or it was not answered as it should be
	_
	flagEnded
)

// An event's first word has its kind (8 bits) and its length in words (8 bits), its second
// word the time. What follows depends on the kind.
const (
	shortEventWords = 3 // of an event that has a single word of its own
	decisionWords   = 6 // of a decision, without the endpoints that it considered
	consideredWords = 3 // of each endpoint that it considered

	repeatsWord  = 2 // of a decision: the word that counts its repetitions
	repeatsShift = 32
	maxRepeats   = 0xffff
)

// encodeDecision appends the words of a decision.
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
		uint64(decision.Endpoint)|uint64(min(decision.ReadyEndpoints, 0xffff))<<48, // between the two: repetitions
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

// decodeDecision reads the words of a decision. What it considered goes into the entry's
// memory for that.
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

// encodeResult returns the word of a result.
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

// decodeEntry reads a chain's words into an entry, whose memory it uses again.
func (l *Log) decodeEntry(entry *Entry, words []uint64) {
	facts, flags := words[headFacts], words[headFacts]>>16&0xffff
	has := func(flag uint64) bool { return flags&flag != 0 }
	*entry = Entry{
		Events:        entry.Events[:0],
		considered:    entry.considered[:0],
		headBlock:     entry.headBlock,
		Number:        words[headNumber],
		StartedAt:     time.Duration(words[headStartedAt]),
		Group:         words[headGroup],
		Flow:          words[headItem],
		TimeLimit:     time.Duration(words[headTimeLimit]),
		ExpectedLoad:  math.Float64frombits(words[headLoad]),
		Class:         l.internedName(facts & 0xff),
		Frontend:      l.internedName(facts >> 8 & 0xff),
		Tenant:        l.internedName(facts >> 40 & 0xff),
		Returning:     has(flagReturning),
		Resumed:       has(flagResumed),
		HeadEvicted:   has(flagHeadEvicted),
		EventsOmitted: has(flagEventsOmitted),
		Notable:       has(flagHeld) || has(flagFailed),
		Pinned:        categoryOf(words[0]) == categoryPinned,
		Ended:         has(flagEnded),
		nameHash:      words[headHash],
	}
	nameLength := min(int(facts>>32&0xff), maxNameBytes)
	entry.Name = unpackBytes(words[headName:], nameLength)
	entry.NameTruncated = hashName(entry.Name) != entry.nameHash
	entry.decodeEvents(words[blockWords:])
}

// decodeEvents reads events until the words end or are none.
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

// hashName is FNV-1a of a name, without the allocation that a hash.Hash costs.
func hashName(name string) uint64 {
	const offset, prime = 0xcbf29ce484222325, 0x100000001b3
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}

// packBytes returns the word of the bytes of a name from an offset on, 0 past its end.
func packBytes(name string, offset int) (word uint64) {
	for i := offset; i < min(len(name), offset+bytesPerWord); i++ {
		word |= uint64(name[i]) << (8 * (i - offset))
	}
	return word
}

// unpackBytes returns the name that packBytes put into words.
func unpackBytes(words []uint64, length int) string {
	name := make([]byte, length)
	for i := range name {
		name[i] = byte(words[i/bytesPerWord] >> (8 * (i % bytesPerWord)))
	}
	return string(name)
}

// clampToUnits returns a duration in a unit, within 32 bits.
func clampToUnits(duration, unit time.Duration) uint64 {
	return uint64(min(max(duration/unit, 0), math.MaxUint32))
}

func decodeMicroseconds(word uint64) time.Duration {
	return time.Duration(word&math.MaxUint32) * time.Microsecond
}

// encodeOptionalAge returns an age in milliseconds plus one; 0 stands for an age that is
// not known, which is negative.
func encodeOptionalAge(age time.Duration) uint64 {
	return clampToUnits(age+time.Millisecond, time.Millisecond)
}

func decodeOptionalAge(word uint64) time.Duration {
	if word &= math.MaxUint32; word > 0 {
		return time.Duration(word-1) * time.Millisecond
	}
	return -1
}

const maxFraction = 0xffff // stands for 1

// encodeFraction returns a number from 0 to 1 in 16 bits.
func encodeFraction(x float64) uint64 {
	return uint64(math.Round(min(max(x, 0), 1) * maxFraction))
}

func decodeFraction(word uint64) float64 { return float64(word&maxFraction) / maxFraction }
