package faultproxy

import (
	"bytes"
	"encoding/binary"
)

// mark describes a place in a stream.
type mark struct {
	line, frame               bool   // one begins here
	linesBefore, framesBefore uint64 // that have ended before it
	code                      byte   // of the frame that begins: its performative's, 0 if not known
}

// scanner finds where lines begin or, where rules ask for them, AMQP frames (part 2,
// section 2.3). To know a frame's performative it holds back the frame's first bytes
// until they are there.
type scanner struct {
	wantsFrames bool
	started     bool
	linesEnded  uint64
	framesEnded uint64 // frames that have ended
	remaining   uint64 // bytes of the frame, or the protocol header, that are still to pass
	inHeader    bool   // it is a protocol header
	held        []byte // of a frame's head, all that has come
}

// next returns how many of the bytes come before the next mark, at the most limit, and
// that mark. Without a byte and a mark it wants more bytes.
func (s *scanner) next(b []byte, limit uint64) (n int, m mark, more bool) {
	most := min(uint64(len(b)), limit)
	if s.wantsFrames {
		return s.nextFrame(b, most)
	}
	if !s.started {
		s.started = true
		return 0, mark{line: true}, false
	}
	i := bytes.IndexByte(b[:most], '\n')
	if i < 0 {
		return int(most), mark{linesBefore: s.linesEnded}, false
	}
	s.linesEnded++
	return i + 1, mark{line: true, linesBefore: s.linesEnded}, false
}

// nextFrame passes the rest of a frame, or looks at the head of the next: its size (4
// bytes), data offset, type and channel, and where the body begins the constructor of
// its performative.
func (s *scanner) nextFrame(b []byte, most uint64) (n int, m mark, more bool) {
	if s.remaining > 0 {
		n := min(s.remaining, most)
		if s.remaining -= n; s.remaining == 0 && !s.inHeader {
			s.framesEnded++
		}
		return int(n), mark{framesBefore: s.framesEnded}, false
	}
	if s.inHeader = bytes.HasPrefix(b, []byte("AMQP")); s.inHeader {
		s.remaining = 8
		return 0, mark{framesBefore: s.framesEnded}, false
	}
	if len(b) < 5 {
		return 0, mark{}, true
	}
	size, body := uint64(binary.BigEndian.Uint32(b)), 4*int(b[4])
	if uint64(body)+3 <= size {
		if len(b) < body+3 {
			return 0, mark{}, true
		}
		if b[body] == 0 && b[body+1] == 0x53 {
			m.code = b[body+2]
		}
	}
	s.remaining = max(size, 4)
	m.frame, m.framesBefore = true, s.framesEnded
	return 0, m, false
}
