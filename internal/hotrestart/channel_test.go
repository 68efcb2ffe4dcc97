package hotrestart

import (
	"encoding/binary"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Messages are read whole with their descriptors, however they are split into writes.
func TestSplitMessagesAreReadWhole(t *testing.T) {
	var encoded []byte
	for cut := 1; ; cut++ {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		var ends [2]channel
		for i, fd := range fds {
			file := os.NewFile(uintptr(fd), "pair")
			conn, err := net.FileConn(file)
			if err != nil {
				t.Fatal(err)
			}
			_ = file.Close()
			ends[i] = newChannel(conn.(*net.UnixConn))
			defer conn.Close()
		}
		if encoded == nil {
			near, _ := connectionPair(t)
			if err := ends[0].send(time.Second, kindOffer, "with a socket", near.(syscall.Conn)); err != nil {
				t.Fatal(err)
			}
			received, err := ends[1].receive(time.Now().Add(time.Second))
			if err != nil || received.kind != kindOffer || len(received.descriptors) != 1 {
				t.Fatalf("got %+v, %v, want an offer with one descriptor", received, err)
			}
			received.closeFiles()
			encoded = binary.BigEndian.AppendUint32(nil, 6)
			encoded = append(append(encoded, byte(kindAck), 0), "123456"...)
		}
		if cut == len(encoded) {
			return
		}
		go func() {
			_, _ = ends[0].Write(encoded[:cut])
			_, _ = ends[0].Write(encoded[cut:])
		}()
		received, err := ends[1].receive(time.Now().Add(time.Second))
		var number int
		if err != nil || received.kind != kindAck || received.decode(&number) != nil || number != 123456 {
			t.Fatalf("split after %d bytes: got %+v, %v, want the acknowledgement of 123456", cut, received, err)
		}
	}
}
