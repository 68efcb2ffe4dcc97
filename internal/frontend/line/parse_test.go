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
	opened, err := parseOpening(sampleOpening + ",again=1,h=12500,at=s-5be2a07c,new=d=7")
	if err != nil {
		t.Fatal(err)
	}
	if opened.id != "9b1f03aa5c7e2d41" || opened.item != 0x7f3a9c21e0b4d655 || opened.class != "chat" || opened.timeout != 2*time.Second ||
		opened.group != 0x5c0f6e1a2b3d4c59 || !opened.returning || opened.load != 0.0125 || opened.endpointName != "s-5be2a07c" {
		t.Errorf("read as %+v", opened)
	}
}

// The platform voids a run in which an endpoint is sent a form that no client sent.
func TestOnlyTimeoutIsRewritten(t *testing.T) {
	for _, tail := range []string{"", ",x=", ",d2=7,=", ",h=1e3,again=1", ",g=0,r=1,at=s-d=9"} {
		opened, err := parseOpening(sampleOpening + tail)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Replace(sampleOpening, "d=2000", "d=731", 1) + tail + "\r\n"
		if got := string(opened.withTimeout(731500 * time.Microsecond)); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
	}
}

func TestMalformedOpeningsAreRefused(t *testing.T) {
	for _, text := range []string{
		"", "OPEN", "OPEN a b", "open 1 2 c=x,d=1", "OPEN 1 2 c=x", "OPEN 1 2 d=1", "OPEN 1 x c=x,d=1",
		"OPEN 1 2 c=x,d=-1", "OPEN 1 2 c=x,d=99999999999", "OPEN 1 2 c=x,d=1,d=2", "OPEN 1 2 c=x,d=1,g=zz",
		"OPEN 1 2 c=x,d=1,h=NaN", "OPEN 1 2 c=x,d=1,odd", "OPEN 1 2 c=x,d=1 more", "OPEN  2 c=x,d=1",
	} {
		if opened, err := parseOpening(text); err == nil {
			t.Errorf("%q was read as %+v", text, opened)
		}
	}
}

func TestRetryAfterIsInMilliseconds(t *testing.T) {
	if got := busyLine(1500 * time.Millisecond); got != "BUSY 1500\r\n" {
		t.Errorf("got %q", got)
	}
	if got := busyLine(0); got != "BUSY\r\n" {
		t.Errorf("got %q", got)
	}
}

// Parsing any text doesn't panic, and what is sent on differs from it at most in the value
// of field d.
func FuzzOpening(f *testing.F) {
	f.Add(sampleOpening)
	f.Add(sampleOpening + ",again=1,h=12500,at=s-5be2a07c")
	f.Add("OPEN 1 2 d=5,c=,c=x,d")
	f.Fuzz(func(t *testing.T, text string) {
		opened, err := parseOpening(text)
		if err != nil {
			return
		}
		if !strings.HasPrefix(text, opened.beforeTimeout) || !strings.HasSuffix(text, opened.afterTimeout) {
			t.Fatalf("%q was cut to %q and %q", text, opened.beforeTimeout, opened.afterTimeout)
		}
		value := text[len(opened.beforeTimeout) : len(text)-len(opened.afterTimeout)]
		if milliseconds, err := strconv.Atoi(value); err != nil || time.Duration(milliseconds)*time.Millisecond != opened.timeout {
			t.Errorf("%q has %q cut out for a timeout of %v", text, value, opened.timeout)
		}
	})
}

// However a stream is cut up, the lines in it are the same; those that are too long are
// skipped.
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
		splitter, from := lineSplitter{}, testutil.NewSource(cuts)
		for rest := stream; len(rest) > 0; {
			var part []byte
			part, rest = from.Cut(rest)
			splitter.feed(part, func(text []byte) {
				parseLine(text)
				got = append(got, string(text))
			})
		}
		if strings.Join(got, "|") != strings.Join(want, "|") {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}
