package line

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a line, including its line ending.
const maxLineBytes = 4 << 10

const (
	microsecondsPerSecond = 1e6
	maxReportedValue      = 1e12 // loads and delays on the wire must be below it
)

// openingLine is a parsed opening line: OPEN, an identifier, a key and a list of fields.
type openingLine struct {
	id           string
	key          string // the item in hexadecimal, as on the wire
	class        string
	tenant       string // "" if the line names none
	timeout      time.Duration
	group        uint64
	item         uint64
	load         float64 // expected load, in seconds of work per second; 0 if not known
	returning    bool    // the client reconnects after a migration or a broken connection
	endpointName string  // the endpoint at which the request is open; "" if none

	beforeTimeout, afterTimeout string // the line before and after the value of its field d
}

// errMalformedOpening is the error of parseOpening.
var errMalformedOpening = errors.New("malformed opening line")

// parseOpening parses an opening line without its line ending.
func parseOpening(text string) (openingLine, error) {
	words := strings.Split(text, " ")
	if len(words) != 4 || words[0] != "OPEN" || words[1] == "" {
		return openingLine{}, errMalformedOpening
	}
	opening := openingLine{id: words[1], key: words[2]}
	var err error
	if opening.item, err = strconv.ParseUint(opening.key, 16, 64); err != nil {
		return openingLine{}, errMalformedOpening
	}
	offset := len(text) - len(words[3])
	for field := range strings.SplitSeq(words[3], ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return openingLine{}, errMalformedOpening
		}
		switch name {
		case "c":
			opening.class = value
		case "t":
			opening.tenant = value
		case "d":
			milliseconds, timeoutErr := strconv.ParseUint(value, 10, 31)
			if timeoutErr != nil || opening.beforeTimeout != "" {
				return openingLine{}, errMalformedOpening
			}
			opening.timeout = time.Duration(milliseconds) * time.Millisecond
			opening.beforeTimeout, opening.afterTimeout = text[:offset+2], text[offset+2+len(value):]
		case "g":
			opening.group, err = strconv.ParseUint(value, 16, 64)
		case "h":
			var microseconds float64
			microseconds, err = strconv.ParseFloat(value, 64)
			if !(microseconds >= 0 && microseconds < maxReportedValue) {
				return openingLine{}, errMalformedOpening
			}
			opening.load = microseconds / microsecondsPerSecond
		case "again":
			opening.returning = value == "1"
		case "at":
			opening.endpointName = value
		}
		if err != nil {
			return openingLine{}, errMalformedOpening
		}
		offset += len(field) + 1
	}
	if opening.class == "" || opening.beforeTimeout == "" {
		return openingLine{}, errMalformedOpening
	}
	return opening, nil
}

// withTimeout returns the opening line that is sent to an endpoint, with its line ending. It is
// the client's line, with field d replaced by timeout in milliseconds, at least 1.
func (o openingLine) withTimeout(timeout time.Duration) []byte {
	return append(strconv.AppendInt([]byte(o.beforeTimeout), max(1, timeout.Milliseconds()), 10), o.afterTimeout+"\r\n"...)
}

// busyLine returns a BUSY line. It includes retryAfter in milliseconds unless that is less than 1.
func busyLine(retryAfter time.Duration) string {
	if retryAfter < time.Millisecond {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(retryAfter.Milliseconds(), 10) + "\r\n"
}

// lineKind is the kind of a line from an endpoint.
type lineKind uint8

const (
	lineOther lineKind = iota // data for the client, or a malformed LOAD line
	lineUp                    // the request is established
	lineBusy                  // the request is rejected, and another endpoint may be tried
	lineErr                   // the attempt has failed
	lineBye                   // the endpoint has ended the request
	lineMove                  // the client must reconnect, because the endpoint drains
	lineLoad                  // report of a load or a delay
)

// parseLine returns the kind of a line from an endpoint, which may include its line ending, and
// the value of a LOAD line.
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
		if value, err := strconv.ParseFloat(string(rest), 64); err == nil && value >= 0 && value < maxReportedValue {
			return lineLoad, value
		}
	}
	return lineOther, 0
}

// lineSplitter splits a stream into lines while it is relayed. The zero value is ready for use.
type lineSplitter struct {
	partial []byte // the current, incomplete line; only a prefix if it is too long
	tooLong bool   // the current line is longer than maxLineBytes
}

// feed takes the next bytes of the stream and calls handleLine for each line that ends in them,
// including its line ending. A line is valid during the call. Lines that are longer than
// maxLineBytes are skipped.
func (s *lineSplitter) feed(data []byte, handleLine func([]byte)) {
	for len(data) > 0 {
		newline := bytes.IndexByte(data, '\n')
		if newline < 0 {
			s.appendPartial(data)
			return
		}
		if s.appendPartial(data[:newline+1]); !s.tooLong {
			handleLine(s.partial)
		}
		s.partial, s.tooLong, data = s.partial[:0], false, data[newline+1:]
	}
}

// appendPartial appends data to the current line, or marks the line as too long.
func (s *lineSplitter) appendPartial(data []byte) {
	if s.tooLong = s.tooLong || len(s.partial)+len(data) > maxLineBytes; !s.tooLong {
		s.partial = append(s.partial, data...)
	}
}
