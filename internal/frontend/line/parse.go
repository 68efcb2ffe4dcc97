package line

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the longest line allowed, including its end.
const maxLineBytes = 4 << 10

const (
	microsecondsPerSecond = 1e6
	maxReportedValue      = 1e12 // a reported load or delay is below this
)

// openingLine is the first line of a client: OPEN, its identifier, its key and a list of fields.
type openingLine struct {
	id           string
	key          string // item in hexadecimal digits
	class        string
	tenant       string // "" if the client names none
	timeout      time.Duration
	group        uint64
	item         uint64
	load         float64 // seconds of work per second; 0 if not known
	returning    bool    // migrated or broken before
	endpointName string  // the endpoint that has it open; "" if none

	beforeTimeout, afterTimeout string // the line's text around the value of field d
}

// errMalformedOpening is returned for a line that is not an opening.
var errMalformedOpening = errors.New("the opening line makes no sense")

// parseOpening parses an opening line without its end. It fails with errMalformedOpening.
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

// withTimeout returns the line, with its end, that an endpoint is sent: the client's own but
// for the time that the relay waits, which is at least a millisecond.
func (o openingLine) withTimeout(timeout time.Duration) []byte {
	return append(strconv.AppendInt([]byte(o.beforeTimeout), max(1, timeout.Milliseconds()), 10), o.afterTimeout+"\r\n"...)
}

// busyLine returns the rejection, with the retry-after in milliseconds if it is known.
func busyLine(retryAfter time.Duration) string {
	if retryAfter < time.Millisecond {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(retryAfter.Milliseconds(), 10) + "\r\n"
}

// lineKind is what a line from an endpoint means to the relay.
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

// parseLine returns the kind of a line from an endpoint, with or without its end, and the
// value of a LOAD line.
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

// lineSplitter splits a stream into lines as it is relayed.
type lineSplitter struct {
	partial []byte // the line that has not ended yet; its beginning if it is too long
	tooLong bool   // the line is over maxLineBytes
}

// feed takes the next bytes of the stream and calls line for each line that ends in them,
// with its end. The line is valid during the call. Lines that are too long are skipped.
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
