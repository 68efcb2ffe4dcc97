package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"lockroad/internal/testutil"
)

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1 404 Not Found\r\n\r\n", "odd\r\n\r\n", "HTTP/1.1 200 OK\r\nno field\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 200) + "\r\n",
	} {
		if _, err := readResponseHead(bufio.NewReader(strings.NewReader(text))); err == nil {
			t.Errorf("the response head %q was accepted", text)
		}
	}
	for _, text := range []string{"x\r\nab\r\n", "2\r\nabc\r\n0\r\n", "-1\r\n", "ffffffff\r\n", "5\r\nab"} {
		if _, err := io.ReadAll(&chunkedReader{reader: bufio.NewReader(strings.NewReader(text))}); err == nil {
			t.Errorf("the chunked body %q was accepted", text)
		}
	}
}

// A chunked body is read unchanged however it is split into chunks and packets, and reading ends for any input.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("{\"revision\":1}\n\n"), []byte{3, 200, 0})
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), []byte{})
	f.Fuzz(func(t *testing.T, body, cuts []byte) {
		_, _ = io.Copy(io.Discard, &chunkedReader{reader: bufio.NewReader(bytes.NewReader(body))})
		_, _ = readResponseHead(bufio.NewReader(bytes.NewReader(body)))
		var wire strings.Builder
		choices := testutil.NewSource(cuts)
		for part, rest := choices.Cut(body); part != nil; part, rest = choices.Cut(rest) {
			wire.WriteString(chunkText(string(part)))
		}
		wire.WriteString("0\r\n\r\n")
		got, err := io.ReadAll(&chunkedReader{reader: bufio.NewReader(iotest.OneByteReader(strings.NewReader(wire.String())))})
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("got %q, %v, want %q", got, errors.Join(err), body)
		}
	})
}
