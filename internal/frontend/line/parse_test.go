package line

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

const sample = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59"

func TestOpeningIsRead(t *testing.T) {
	o, err := parseOpening(sample + ",again=1,h=12500,at=s-5be2a07c,new=d=7")
	if err != nil {
		t.Fatal(err)
	}
	if o.id != "9b1f03aa5c7e2d41" || o.item != 0x7f3a9c21e0b4d655 || o.class != "chat" || o.wait != 2*time.Second ||
		o.group != 0x5c0f6e1a2b3d4c59 || !o.back || o.load != 0.0125 || o.at != "s-5be2a07c" {
		t.Errorf("read as %+v", o)
	}
}

// The platform voids a run in which a server is sent a form that no client sent.
func TestOnlyTheWaitIsRewritten(t *testing.T) {
	for _, tail := range []string{"", ",x=", ",d2=7,=", ",h=1e3,again=1", ",g=0,r=1,at=s-d=9"} {
		o, err := parseOpening(sample + tail)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Replace(sample, "d=2000", "d=731", 1) + tail + "\r\n"
		if got := string(o.with(731500 * time.Microsecond)); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
	}
}

func TestOpeningsThatMakeNoSense(t *testing.T) {
	for _, text := range []string{
		"", "OPEN", "OPEN a b", "open 1 2 c=x,d=1", "OPEN 1 2 c=x", "OPEN 1 2 d=1", "OPEN 1 x c=x,d=1",
		"OPEN 1 2 c=x,d=-1", "OPEN 1 2 c=x,d=99999999999", "OPEN 1 2 c=x,d=1,d=2", "OPEN 1 2 c=x,d=1,g=zz",
		"OPEN 1 2 c=x,d=1,h=NaN", "OPEN 1 2 c=x,d=1,odd", "OPEN 1 2 c=x,d=1 more", "OPEN  2 c=x,d=1",
	} {
		if o, err := parseOpening(text); err == nil {
			t.Errorf("%q was read as %+v", text, o)
		}
	}
}

func TestAdviceIsInMilliseconds(t *testing.T) {
	if got := busy(1500 * time.Millisecond); got != "BUSY 1500\r\n" {
		t.Errorf("got %q", got)
	}
	if got := busy(0); got != "BUSY\r\n" {
		t.Errorf("got %q", got)
	}
}

// Whatever comes, reading doesn't panic, and what is passed on differs from what
// came by the figure of d at the most.
func FuzzOpening(f *testing.F) {
	f.Add(sample)
	f.Add(sample + ",again=1,h=12500,at=s-5be2a07c")
	f.Add("OPEN 1 2 d=5,c=,c=x,d")
	f.Fuzz(func(t *testing.T, text string) {
		o, err := parseOpening(text)
		if err != nil {
			return
		}
		if !strings.HasPrefix(text, o.head) || !strings.HasSuffix(text, o.tail) {
			t.Fatalf("%q was cut to %q and %q", text, o.head, o.tail)
		}
		figure := text[len(o.head) : len(text)-len(o.tail)]
		if n, err := strconv.Atoi(figure); err != nil || time.Duration(n)*time.Millisecond != o.wait {
			t.Errorf("%q has %q cut out for a wait of %v", text, figure, o.wait)
		}
	})
}

// However a stream is cut up, the lines in it are the same; those that are too
// long are passed over.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("UP x\r\nLOAD 4\r\nBYE\r\n"), []byte{1, 2, 3})
	f.Add(append(bytes.Repeat([]byte("x"), maxLine+1), "\nM 1\r\nhalf"...), []byte{200, 100, 0, 255})
	f.Fuzz(func(t *testing.T, stream, cuts []byte) {
		var want, got []string
		for rest := stream; ; {
			i := bytes.IndexByte(rest, '\n')
			if i < 0 {
				break
			}
			if i < maxLine {
				want = append(want, string(rest[:i+1]))
			}
			rest = rest[i+1:]
		}
		s, from := splitter{}, testutil.New(cuts)
		for rest := stream; len(rest) > 0; {
			var part []byte
			part, rest = from.Cut(rest)
			s.feed(part, func(text []byte) {
				parseWord(text)
				got = append(got, string(text))
			})
		}
		if strings.Join(got, "|") != strings.Join(want, "|") {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}
