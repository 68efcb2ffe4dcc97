package hotrestart

import (
	"encoding/binary"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Messages are read whole with their descriptors, whatever pieces they arrive in.
func TestMessagesAreReadFromPieces(t *testing.T) {
	var text []byte
	for cut := 1; ; cut++ {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		var ends [2]channel
		for i, fd := range fds {
			f := os.NewFile(uintptr(fd), "pair")
			c, err := net.FileConn(f)
			if err != nil {
				t.Fatal(err)
			}
			_ = f.Close()
			ends[i] = channel{c.(*net.UnixConn)}
			defer c.Close()
		}
		if text == nil {
			near, _ := connectionPair(t)
			if err := ends[0].send(time.Second, kindOffer, "with a socket", near.(syscall.Conn)); err != nil {
				t.Fatal(err)
			}
			received, err := ends[1].receive(time.Now().Add(time.Second))
			if err != nil || received.kind != kindOffer || len(received.descriptors) != 1 {
				t.Fatalf("%+v, %v", received, err)
			}
			received.closeFiles()
			text = binary.BigEndian.AppendUint32(nil, 6)
			text = append(append(text, byte(kindAck), 0), "123456"...)
		}
		if cut == len(text) {
			return
		}
		go func() {
			_, _ = ends[0].Write(text[:cut])
			_, _ = ends[0].Write(text[cut:])
		}()
		received, err := ends[1].receive(time.Now().Add(time.Second))
		var n int
		if err != nil || received.kind != kindAck || received.decode(&n) != nil || n != 123456 {
			t.Fatalf("cut at %d: %+v, %v", cut, received, err)
		}
	}
}
