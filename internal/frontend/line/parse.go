// Package line speaks the platform's protocol: lines of text over TCP, between
// clients and the relay and between the relay and application servers.
package line

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the longest line allowed, with its end.
const maxLineBytes = 4 << 10

// opening is the first line of a client.
type opening struct {
	id, key      string
	class        string
	tenant       string // whose it is; "" if not told
	timeout      time.Duration
	group        uint64
	item         uint64
	load         float64 // seconds of work a second; 0 if not told
	returning    bool    // moved or broken before
	endpointName string  // the server that has it open

	beforeTimeout, afterTimeout string // the line around the figure of d
}

var errMalformedOpening = errors.New("the opening line makes no sense")

// parseOpening reads an opening line without its end.
func parseOpening(text string) (opening, error) {
	words := strings.Split(text, " ")
	if len(words) != 4 || words[0] != "OPEN" || words[1] == "" {
		return opening{}, errMalformedOpening
	}
	opened := opening{id: words[1], key: words[2]}
	var err error
	if opened.item, err = strconv.ParseUint(opened.key, 16, 64); err != nil {
		return opening{}, errMalformedOpening
	}
	offset := len(text) - len(words[3])
	for field := range strings.SplitSeq(words[3], ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return opening{}, errMalformedOpening
		}
		switch name {
		case "c":
			opened.class = value
		case "t":
			opened.tenant = value
		case "d":
			milliseconds, timeoutErr := strconv.ParseUint(value, 10, 31)
			if timeoutErr != nil || opened.beforeTimeout != "" {
				return opening{}, errMalformedOpening
			}
			opened.timeout = time.Duration(milliseconds) * time.Millisecond
			opened.beforeTimeout, opened.afterTimeout = text[:offset+2], text[offset+2+len(value):]
		case "g":
			opened.group, err = strconv.ParseUint(value, 16, 64)
		case "h":
			var microseconds float64
			microseconds, err = strconv.ParseFloat(value, 64)
			if !(microseconds >= 0 && microseconds < 1e12) {
				return opening{}, errMalformedOpening
			}
			opened.load = microseconds / 1e6
		case "again":
			opened.returning = value == "1"
		case "at":
			opened.endpointName = value
		}
		if err != nil {
			return opening{}, errMalformedOpening
		}
		offset += len(field) + 1
	}
	if opened.class == "" || opened.beforeTimeout == "" {
		return opening{}, errMalformedOpening
	}
	return opened, nil
}

// withTimeout is the line, with its end, that tells a server how long the relay waits;
// all else is as the client said it.
func (opened opening) withTimeout(timeout time.Duration) []byte {
	return append(strconv.AppendInt([]byte(opened.beforeTimeout), max(1, timeout.Milliseconds()), 10), opened.afterTimeout+"\r\n"...)
}

// busyLine is the unavailable answer, with when to come back if that is known.
func busyLine(retryAfter time.Duration) string {
	if retryAfter < time.Millisecond {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(retryAfter.Milliseconds(), 10) + "\r\n"
}

// lineKind is what a line of a server means to the relay.
type lineKind uint8

const (
	lineOther lineKind = iota
	lineUp
	lineBusy
	lineErr
	lineBye
	lineMove
	lineLoad
)

// parseLine reads a line of a server, with or without its end, and the figure
// of a LOAD.
func parseLine(text []byte) (lineKind, float64) {
	text = bytes.TrimRight(text, "\r\n")
	name, rest, _ := bytes.Cut(text, []byte{' '})
	switch string(name) {
	case "UP":
		return lineUp, 0
	case "BUSY":
		return lineBusy, 0
	case "ERR":
		return lineErr, 0
	case "BYE":
		return lineBye, 0
	case "MOVE":
		return lineMove, 0
	case "LOAD":
		if value, err := strconv.ParseFloat(string(rest), 64); err == nil && value >= 0 && value < 1e12 {
			return lineLoad, value
		}
	}
	return lineOther, 0
}

// lineSplitter cuts a stream of bytes into lines as it passes by.
type lineSplitter struct {
	partial []byte // of the line that has not ended yet; its start if it is too long
	tooLong bool   // the line is over maxLine
}

// feed takes the next bytes and calls line for each that ends in them, with its
// end. A line that is too long is passed over.
func (s *lineSplitter) feed(data []byte, line func([]byte)) {
	for len(data) > 0 {
		newline := bytes.IndexByte(data, '\n')
		if newline < 0 {
			s.appendPartial(data)
			return
		}
		if s.appendPartial(data[:newline+1]); !s.tooLong {
			line(s.partial)
		}
		s.partial, s.tooLong, data = s.partial[:0], false, data[newline+1:]
	}
}

func (s *lineSplitter) appendPartial(data []byte) {
	if s.tooLong = s.tooLong || len(s.partial)+len(data) > maxLineBytes; !s.tooLong {
		s.partial = append(s.partial, data...)
	}
}
