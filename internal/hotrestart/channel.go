package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A message has a header of six bytes and a body in JSON. The header holds the length
// of the body in four bytes, big-endian, the kind, and the number of descriptors.
const (
	headerSize     = 6
	maxBodyBytes   = 64 << 20 // enough for a list of 60,000 endpoints and all cached routes
	maxDescriptors = 8
	descriptorSize = 4 // bytes of a descriptor in a control message
)

// channel is a Unix socket connection between predecessor and successor. Several
// goroutines may send at the same time, but only one may receive.
type channel struct {
	*net.UnixConn
	sending *sync.Mutex // held while a message is written
}

func newChannel(conn *net.UnixConn) channel { return channel{UnixConn: conn, sending: new(sync.Mutex)} }

// checkPeerUser returns errOtherUser if the peer runs as another user.
func (c channel) checkPeerUser() error {
	var credentials *unix.Ucred
	err := withDescriptors([]syscall.Conn{c}, nil, func(descriptors []int) (err error) {
		credentials, err = unix.GetsockoptUcred(descriptors[0], unix.SOL_SOCKET, unix.SO_PEERCRED)
		return err
	})
	if err != nil {
		return err
	}
	if credentials.Uid != uint32(os.Geteuid()) {
		return errOtherUser
	}
	return nil
}

// send writes a message within a timeout. The peer receives duplicates of the
// sockets' descriptors with it.
func (c channel) send(timeout time.Duration, kind messageKind, body any, sockets ...syscall.Conn) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if len(text) > maxBodyBytes || len(sockets) > maxDescriptors {
		return fmt.Errorf("hotrestart: message of %d bytes with %d descriptors exceeds the limits", len(text), len(sockets))
	}
	data := binary.BigEndian.AppendUint32(make([]byte, 0, headerSize+len(text)), uint32(len(text)))
	data = append(data, byte(kind), byte(len(sockets)))
	data = append(data, text...)
	c.sending.Lock()
	defer c.sending.Unlock()
	c.SetWriteDeadline(time.Now().Add(timeout))
	return withDescriptors(sockets, nil, func(descriptors []int) error {
		var rights []byte
		if len(descriptors) > 0 {
			rights = unix.UnixRights(descriptors...)
		}
		n, _, err := c.WriteMsgUnix(data, rights, nil)
		if err == nil && n < len(data) {
			_, err = c.Write(data[n:])
		}
		return err
	})
}

// withDescriptors calls use with the given descriptors and those of all sockets.
// It accesses them through SyscallConn, as File would set a socket that both
// processes share to blocking mode.
func withDescriptors(sockets []syscall.Conn, descriptors []int, use func([]int) error) error {
	if len(sockets) == 0 {
		return use(descriptors)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	err = raw.Control(func(descriptor uintptr) {
		useErr = withDescriptors(sockets[1:], append(descriptors, int(descriptor)), use)
	})
	return errors.Join(err, useErr)
}

// message is a received message.
type message struct {
	kind        messageKind
	body        []byte
	descriptors []*os.File
}

// closeFiles closes the descriptors that came with a message.
func (m *message) closeFiles() {
	for _, file := range m.descriptors {
		_ = file.Close()
	}
}

// decode decodes the body; its error wraps errProtocol.
func (m *message) decode(target any) error {
	if err := json.Unmarshal(m.body, target); err != nil {
		return fmt.Errorf("%w: %w", errProtocol, err)
	}
	return nil
}

// receive reads a message before a deadline; the zero time means no deadline. The
// caller must close the descriptors of the message.
func (c channel) receive(deadline time.Time) (*message, error) {
	c.SetReadDeadline(deadline)
	received := &message{}
	if err := received.readFrom(c); err != nil {
		received.closeFiles()
		return nil, err
	}
	return received, nil
}

// readFrom reads a message. It may have received some descriptors if it fails.
func (m *message) readFrom(source channel) error {
	header := make([]byte, headerSize)
	rights := make([]byte, unix.CmsgSpace(descriptorSize*maxDescriptors))
	// The kernel delivers the descriptors with the first byte of the message.
	n, rightsSize, _, _, err := source.ReadMsgUnix(header, rights)
	if err != nil {
		return err
	}
	if err := m.parseRights(rights[:rightsSize]); err != nil {
		return err
	}
	if n == 0 {
		return io.EOF
	}
	if _, err := io.ReadFull(source, header[n:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header)
	m.kind = messageKind(header[4])
	if size > maxBodyBytes || int(header[5]) != len(m.descriptors) {
		return errProtocol
	}
	m.body = make([]byte, size)
	_, err = io.ReadFull(source, m.body)
	return err
}

// parseRights extracts the descriptors from the control messages that came with the
// first byte of the message.
func (m *message) parseRights(rights []byte) error {
	controlMessages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return err
	}
	for _, controlMessage := range controlMessages {
		descriptors, err := unix.ParseUnixRights(&controlMessage)
		if err != nil {
			return err
		}
		for _, descriptor := range descriptors {
			unix.CloseOnExec(descriptor)
			_ = unix.SetNonblock(descriptor, true) // os.NewFile accepts a blocking descriptor too
			m.descriptors = append(m.descriptors, os.NewFile(uintptr(descriptor), "received descriptor"))
		}
	}
	return nil
}
