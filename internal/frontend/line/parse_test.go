package line

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

const sampleOpening = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59"

func TestParseOpening(t *testing.T) {
	opening, err := parseOpening(sampleOpening + ",again=1,h=12500,at=s-5be2a07c,new=d=7")
	if err != nil {
		t.Fatal(err)
	}
	if opening.id != "9b1f03aa5c7e2d41" || opening.item != 0x7f3a9c21e0b4d655 || opening.class != "chat" || opening.timeout != 2*time.Second ||
		opening.group != 0x5c0f6e1a2b3d4c59 || !opening.returning || opening.load != 0.0125 || opening.endpointName != "s-5be2a07c" {
		t.Errorf("parseOpening returned %+v", opening)
	}
}

// The endpoint must receive the client's line byte for byte, except for the timeout, because
// the platform accepts no other change.
func TestOnlyTimeoutIsRewritten(t *testing.T) {
	for _, tail := range []string{"", ",x=", ",d2=7,=", ",h=1e3,again=1", ",g=0,r=1,at=s-d=9"} {
		opening, err := parseOpening(sampleOpening + tail)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Replace(sampleOpening, "d=2000", "d=731", 1) + tail + "\r\n"
		if got := string(opening.withTimeout(731500 * time.Microsecond)); got != want {
			t.Errorf("the endpoint would receive %q, want %q", got, want)
		}
	}
}

func TestParseOpeningRejectsMalformedLines(t *testing.T) {
	for _, text := range []string{
		"", "OPEN", "OPEN a b", "open 1 2 c=x,d=1", "OPEN 1 2 c=x", "OPEN 1 2 d=1", "OPEN 1 x c=x,d=1",
		"OPEN 1 2 c=x,d=-1", "OPEN 1 2 c=x,d=99999999999", "OPEN 1 2 c=x,d=1,d=2", "OPEN 1 2 c=x,d=1,g=zz",
		"OPEN 1 2 c=x,d=1,h=NaN", "OPEN 1 2 c=x,d=1,odd", "OPEN 1 2 c=x,d=1 more", "OPEN  2 c=x,d=1",
	} {
		if opening, err := parseOpening(text); err == nil {
			t.Errorf("parseOpening(%q) = %+v, want an error", text, opening)
		}
	}
}

func TestRetryAfterIsInMilliseconds(t *testing.T) {
	if got := busyLine(1500 * time.Millisecond); got != "BUSY 1500\r\n" {
		t.Errorf("busyLine(1.5s) = %q", got)
	}
	if got := busyLine(0); got != "BUSY\r\n" {
		t.Errorf("busyLine(0) = %q", got)
	}
}

// Parsing must not panic on any text, and the parts of an opening line that are sent to the endpoint
// must be the line without the value of its field d.
func FuzzOpening(f *testing.F) {
	f.Add(sampleOpening)
	f.Add(sampleOpening + ",again=1,h=12500,at=s-5be2a07c")
	f.Add("OPEN 1 2 d=5,c=,c=x,d")
	f.Fuzz(func(t *testing.T, text string) {
		opening, err := parseOpening(text)
		if err != nil {
			return
		}
		if !strings.HasPrefix(text, opening.beforeTimeout) || !strings.HasSuffix(text, opening.afterTimeout) {
			t.Fatalf("%q: parts %q and %q are not its start and end", text, opening.beforeTimeout, opening.afterTimeout)
		}
		value := text[len(opening.beforeTimeout) : len(text)-len(opening.afterTimeout)]
		if milliseconds, err := strconv.Atoi(value); err != nil || time.Duration(milliseconds)*time.Millisecond != opening.timeout {
			t.Errorf("%q: %q is left out, want the timeout %v", text, value, opening.timeout)
		}
	})
}

// The lines must not depend on where the stream is split, and those that are too long are skipped.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("UP x\r\nLOAD 4\r\nBYE\r\n"), []byte{1, 2, 3})
	f.Add(append(bytes.Repeat([]byte("x"), maxLineBytes+1), "\nM 1\r\nhalf"...), []byte{200, 100, 0, 255})
	f.Fuzz(func(t *testing.T, stream, cuts []byte) {
		var want, got []string
		for rest := stream; ; {
			newline := bytes.IndexByte(rest, '\n')
			if newline < 0 {
				break
			}
			if newline < maxLineBytes {
				want = append(want, string(rest[:newline+1]))
			}
			rest = rest[newline+1:]
		}
		splitter, source := lineSplitter{}, testutil.NewSource(cuts)
		for rest := stream; len(rest) > 0; {
			var part []byte
			part, rest = source.Cut(rest)
			splitter.feed(part, func(text []byte) {
				parseLine(text)
				got = append(got, string(text))
			})
		}
		if strings.Join(got, "|") != strings.Join(want, "|") {
			t.Errorf("the splitter returned the lines %q, want %q", got, want)
		}
	})
}
