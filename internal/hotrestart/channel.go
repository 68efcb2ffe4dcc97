package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A message is its length in four bytes, its kind in one, how many descriptors come with
// it in one, and a body in JSON.
const (
	headerSize     = 6
	maxBodyBytes   = 64 << 20 // a list of 60,000 servers and all routes that are kept; memory is taken by what a body has
	maxDescriptors = 8
)

// messageKind is what a message says.
type messageKind uint8

const (
	kindHello      messageKind = 1 + iota // new: who it is
	kindOffer                             // old: state, with the listening sockets
	kindReject                            // old: why not
	kindTakeOver                          // new: it is ready to take over
	kindPaused                            // old: it takes nobody in any more
	kindConnection                        // old: a connection, with its two sockets
	kindAck                               // new: it is carried on here
	kindNack                              // new: it is not
)

var (
	errProtocol  = errors.New("handover: a message makes no sense")
	errOtherUser = errors.New("handover: the peer is another user's")
)

// channel is a connection between the two processes.
type channel struct{ *net.UnixConn }

// sameUser fails if the peer is not of this process's own user.
func (c channel) sameUser() error {
	var cred *unix.Ucred
	err := withDescriptors([]syscall.Conn{c}, nil, func(fds []int) (err error) {
		cred, err = unix.GetsockoptUcred(fds[0], unix.SOL_SOCKET, unix.SO_PEERCRED)
		return err
	})
	if err != nil {
		return err
	}
	if cred.Uid != uint32(os.Geteuid()) {
		return errOtherUser
	}
	return nil
}

// send writes a message within a time, with the descriptors of some sockets. The peer gets
// descriptors of its own.
func (c channel) send(within time.Duration, k messageKind, body any, sockets ...syscall.Conn) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if len(text) > maxBodyBytes || len(sockets) > maxDescriptors {
		return fmt.Errorf("handover: %d bytes and %d descriptors are too much", len(text), len(sockets))
	}
	message := binary.BigEndian.AppendUint32(make([]byte, 0, headerSize+len(text)), uint32(len(text)))
	message = append(message, byte(k), byte(len(sockets)))
	message = append(message, text...)
	c.SetWriteDeadline(time.Now().Add(within))
	return withDescriptors(sockets, nil, func(fds []int) error {
		var rights []byte
		if len(fds) > 0 {
			rights = unix.UnixRights(fds...)
		}
		n, _, err := c.WriteMsgUnix(message, rights, nil)
		if err == nil && n < len(message) {
			_, err = c.Write(message[n:])
		}
		return err
	})
}

// withDescriptors calls do with the descriptors of all sockets. They are not taken out of
// the runtime's hands: File would set a socket that both processes have to blocking mode.
func withDescriptors(sockets []syscall.Conn, fds []int, do func([]int) error) error {
	if len(sockets) == 0 {
		return do(fds)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var done error
	err = raw.Control(func(fd uintptr) { done = withDescriptors(sockets[1:], append(fds, int(fd)), do) })
	return errors.Join(err, done)
}

// message is one that has come.
type message struct {
	kind        messageKind
	body        []byte
	descriptors []*os.File
}

// closeFiles closes the descriptors that came with a message.
func (m *message) closeFiles() {
	for _, f := range m.descriptors {
		_ = f.Close()
	}
}

// decode reads the body.
func (m *message) decode(v any) error {
	if err := json.Unmarshal(m.body, v); err != nil {
		return fmt.Errorf("%w: %w", errProtocol, err)
	}
	return nil
}

// receive reads a message until a time; the zero time waits for as long as it takes.
func (c channel) receive(until time.Time) (m *message, err error) {
	c.SetReadDeadline(until)
	m = &message{}
	defer func() {
		if err != nil {
			m.closeFiles()
			m = nil
		}
	}()
	head := make([]byte, headerSize)
	rights := make([]byte, unix.CmsgSpace(4*maxDescriptors))
	// Descriptors come with the first byte of their message.
	n, oob, _, _, err := c.ReadMsgUnix(head, rights)
	if err != nil {
		return m, err
	}
	if err := m.parseRights(rights[:oob]); err != nil {
		return m, err
	}
	if n == 0 {
		return m, net.ErrClosed
	}
	if _, err := io.ReadFull(c, head[n:]); err != nil {
		return m, err
	}
	size := binary.BigEndian.Uint32(head)
	if m.kind = messageKind(head[4]); size > maxBodyBytes || int(head[5]) != len(m.descriptors) {
		return m, errProtocol
	}
	m.body = make([]byte, size)
	_, err = io.ReadFull(c, m.body)
	return m, err
}

// parseRights takes the descriptors out of what came beside a message's first bytes.
func (m *message) parseRights(rights []byte) error {
	all, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return err
	}
	for _, one := range all {
		fds, err := unix.ParseUnixRights(&one)
		if err != nil {
			return err
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			_ = unix.SetNonblock(fd, true) // os.NewFile takes a blocking one as well
			m.descriptors = append(m.descriptors, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return nil
}

// expect fails if a message is not of a kind.
func (m *message) expect(k messageKind) error {
	switch m.kind {
	case k:
		return nil
	case kindReject:
		var why string
		_ = m.decode(&why) // the refusal counts, with its reason or without
		return fmt.Errorf("handover: refused: %.200s", why)
	}
	return errProtocol
}
