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

// maxLine is the longest line allowed, with its end.
const maxLine = 4 << 10

// opening is the first line of a client.
type opening struct {
	id, key string
	class   string
	tenant  string // whose it is; "" if not told
	wait    time.Duration
	group   uint64
	item    uint64
	load    float64 // seconds of work a second; 0 if not told
	back    bool    // moved or broken before
	at      string  // the server that has it open

	head, tail string // the line around the figure of d
}

var errOpening = errors.New("the opening line makes no sense")

// parseOpening reads an opening line without its end.
func parseOpening(text string) (opening, error) {
	words := strings.Split(text, " ")
	if len(words) != 4 || words[0] != "OPEN" || words[1] == "" {
		return opening{}, errOpening
	}
	o := opening{id: words[1], key: words[2]}
	var err error
	if o.item, err = strconv.ParseUint(o.key, 16, 64); err != nil {
		return opening{}, errOpening
	}
	offset := len(text) - len(words[3])
	for field := range strings.SplitSeq(words[3], ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return opening{}, errOpening
		}
		switch name {
		case "c":
			o.class = value
		case "t":
			o.tenant = value
		case "d":
			ms, bad := strconv.ParseUint(value, 10, 31)
			if bad != nil || o.head != "" {
				return opening{}, errOpening
			}
			o.wait = time.Duration(ms) * time.Millisecond
			o.head, o.tail = text[:offset+2], text[offset+2+len(value):]
		case "g":
			o.group, err = strconv.ParseUint(value, 16, 64)
		case "h":
			var us float64
			us, err = strconv.ParseFloat(value, 64)
			if !(us >= 0 && us < 1e12) {
				return opening{}, errOpening
			}
			o.load = us / 1e6
		case "again":
			o.back = value == "1"
		case "at":
			o.at = value
		}
		if err != nil {
			return opening{}, errOpening
		}
		offset += len(field) + 1
	}
	if o.class == "" || o.head == "" {
		return opening{}, errOpening
	}
	return o, nil
}

// with is the line, with its end, that tells a server how long the relay waits;
// all else is as the client said it.
func (o opening) with(wait time.Duration) []byte {
	return append(strconv.AppendInt([]byte(o.head), max(1, wait.Milliseconds()), 10), o.tail+"\r\n"...)
}

// busy is the unavailable answer, with when to come back if that is known.
func busy(comeBack time.Duration) string {
	if comeBack < time.Millisecond {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(comeBack.Milliseconds(), 10) + "\r\n"
}

// word is what a line of a server means to the relay.
type word uint8

const (
	wordOther word = iota
	wordUp
	wordBusy
	wordErr
	wordBye
	wordMove
	wordLoad
)

// parseWord reads a line of a server, with or without its end, and the figure
// of a LOAD.
func parseWord(text []byte) (word, float64) {
	text = bytes.TrimRight(text, "\r\n")
	name, rest, _ := bytes.Cut(text, []byte{' '})
	switch string(name) {
	case "UP":
		return wordUp, 0
	case "BUSY":
		return wordBusy, 0
	case "ERR":
		return wordErr, 0
	case "BYE":
		return wordBye, 0
	case "MOVE":
		return wordMove, 0
	case "LOAD":
		if x, err := strconv.ParseFloat(string(rest), 64); err == nil && x >= 0 && x < 1e12 {
			return wordLoad, x
		}
	}
	return wordOther, 0
}

// splitter cuts a stream of bytes into lines as it passes by.
type splitter struct {
	part []byte // of the line that has not ended yet; its start if it is too long
	long bool   // the line is over maxLine
}

// feed takes the next bytes and calls line for each that ends in them, with its
// end. A line that is too long is passed over.
func (s *splitter) feed(b []byte, line func([]byte)) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.keep(b)
			return
		}
		if s.keep(b[:i+1]); !s.long {
			line(s.part)
		}
		s.part, s.long, b = s.part[:0], false, b[i+1:]
	}
}

func (s *splitter) keep(b []byte) {
	if s.long = s.long || len(s.part)+len(b) > maxLine; !s.long {
		s.part = append(s.part, b...)
	}
}
