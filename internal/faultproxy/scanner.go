package faultproxy

import (
	"bytes"
	"encoding/binary"
)

// position is a point in a stream at which rules may be triggered.
type position struct {
	line, frame               bool   // one starts here
	linesBefore, framesBefore uint64 // number that ended before it
	code                      byte   // performative of the frame that starts here; 0: unknown
}

// scanner finds the starts of lines or, if wantsFrames is set, of AMQP frames (AMQP 1.0,
// part 2, section 2.3). It holds back the start of a frame until the performative is known.
type scanner struct {
	wantsFrames bool
	started     bool
	linesEnded  uint64
	framesEnded uint64
	remaining   uint64 // bytes left of the current frame or protocol header
	inHeader    bool   // remaining counts a protocol header
	held        []byte // incomplete start of a frame
}

// next returns how many bytes, at most limit, precede the next position at which rules may be
// triggered, and that position. If needMore is set, more input is needed to find it.
func (s *scanner) next(data []byte, limit uint64) (n int, pos position, needMore bool) {
	maxBytes := min(uint64(len(data)), limit)
	if s.wantsFrames {
		return s.nextFrame(data, maxBytes)
	}
	if !s.started {
		s.started = true
		return 0, position{line: true}, false
	}
	i := bytes.IndexByte(data[:maxBytes], '\n')
	if i < 0 {
		return int(maxBytes), position{linesBefore: s.linesEnded}, false
	}
	s.linesEnded++
	return i + 1, position{line: true, linesBefore: s.linesEnded}, false
}

// nextFrame consumes the rest of a frame, or reads the start of the next one: its size (4
// bytes), data offset, type and channel, then the descriptor of its performative.
func (s *scanner) nextFrame(data []byte, maxBytes uint64) (n int, pos position, needMore bool) {
	if s.remaining > 0 {
		taken := min(s.remaining, maxBytes)
		if s.remaining -= taken; s.remaining == 0 && !s.inHeader {
			s.framesEnded++
		}
		return int(taken), position{framesBefore: s.framesEnded}, false
	}
	if s.inHeader = bytes.HasPrefix(data, []byte("AMQP")); s.inHeader {
		s.remaining = 8
		return 0, position{framesBefore: s.framesEnded}, false
	}
	if len(data) < 5 {
		return 0, position{}, true
	}
	size, body := uint64(binary.BigEndian.Uint32(data)), 4*int(data[4])
	if uint64(body)+3 <= size {
		if len(data) < body+3 {
			return 0, position{}, true
		}
		if data[body] == 0 && data[body+1] == 0x53 {
			pos.code = data[body+2]
		}
	}
	s.remaining = max(size, 4)
	pos.frame, pos.framesBefore = true, s.framesEnded
	return 0, pos, false
}
