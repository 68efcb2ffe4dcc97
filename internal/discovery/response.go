package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	maxListBytes      = 64 << 20 // of one list: enough for 100,000 endpoints in indented JSON
	maxHeaderFields   = 100
	statusOK          = "200"
	statusUnavailable = "503"
)

var (
	errOverloaded = errors.New("discovery: service overloaded (503)")
	errMalformed  = errors.New("discovery: malformed HTTP response")
	errEmptyList  = errors.New("discovery: full list names no endpoint; current endpoints retained")
)

// readResponseHead reads the head of a response and returns a reader of its body.
// It returns errOverloaded for status 503 and errMalformed for an invalid header.
func readResponseHead(reader *bufio.Reader) (io.Reader, error) {
	if err := readStatus(reader); err != nil {
		return nil, err
	}
	var body io.Reader = reader // ends with the connection, unless a header field delimits it
	for range maxHeaderFields {
		field, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		if field == "" {
			return body, nil
		}
		if body, err = applyField(field, reader, body); err != nil {
			return nil, err
		}
	}
	return nil, errMalformed
}

// readStatus reads the status line, and returns an error for any status but 200.
func readStatus(reader *bufio.Reader) error {
	line, err := readLine(reader)
	if err != nil {
		return err
	}
	words := strings.SplitN(line, " ", 3)
	if len(words) > 1 && words[1] == statusUnavailable {
		return errOverloaded
	}
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") || words[1] != statusOK {
		return fmt.Errorf("discovery: unexpected status line %q", line)
	}
	return nil
}

// applyField returns the reader of the body that a header field selects, or the given
// one. Chunked encoding takes precedence over a content length.
func applyField(field string, reader *bufio.Reader, body io.Reader) (io.Reader, error) {
	name, value, found := strings.Cut(field, ":")
	if !found {
		return nil, errMalformed
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return nil, errMalformed
		}
		return &chunkedReader{reader: reader}, nil
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 {
			return nil, errMalformed
		}
		if _, chunked := body.(*chunkedReader); !chunked {
			return io.LimitReader(reader, length), nil
		}
	}
	return body, nil
}

// readLine reads a line of a header or chunk head, without its line break.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// chunkedReader reads a body in HTTP's chunked encoding.
type chunkedReader struct {
	reader     *bufio.Reader
	remaining  int64 // unread bytes of the current chunk
	afterChunk bool  // the line break after a chunk has yet to be read
	err        error
}

func (c *chunkedReader) Read(buffer []byte) (int, error) {
	for c.remaining == 0 && c.err == nil {
		c.remaining, c.err = c.nextChunkSize()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.Read(buffer[:min(int64(len(buffer)), c.remaining)])
	c.remaining -= int64(n)
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunkSize reads the head of a chunk. It returns io.EOF for the last chunk.
func (c *chunkedReader) nextChunkSize() (int64, error) {
	if c.afterChunk {
		if line, err := readLine(c.reader); err != nil || line != "" {
			return 0, errMalformed
		}
	}
	line, err := readLine(c.reader)
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, errMalformed
	}
	if size == 0 {
		return 0, io.EOF
	}
	c.afterChunk = true
	return int64(size), nil
}

// unexpectedEOF turns io.EOF, which stands for the end of the body, into
// io.ErrUnexpectedEOF for a connection that ends within the body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// boundedReader limits the size of one list, and so the memory that it takes.
type boundedReader struct {
	io.Reader
	remaining int
}

func (b *boundedReader) Read(buffer []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("discovery: list longer than %d bytes; current endpoints retained", maxListBytes)
	}
	n, err := b.Reader.Read(buffer[:min(len(buffer), b.remaining)])
	b.remaining -= n
	return n, err
}
