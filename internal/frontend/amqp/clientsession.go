package amqp

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/proxy"
)

// clientSession is one session of a client and its links. Only the goroutine that reads the client's connection calls
// its methods.
type clientSession struct {
	*session
	client       *clientConnection
	links        map[uint32]*link       // by handle
	activeLinks  sync.WaitGroup         // goroutines that serve its links
	endedLocally bool                   // the relay has ended the session; later frames of the client are ignored
	endedByPeer  bool                   // the client has ended the session or closed the connection
	lostSome     atomic.Bool            // deliveries were dropped after that
	early        map[uint32]earlyAttach // by handle
	leaving      map[uint32]*link       // links that the client has detached and the relay has not, by handle
}

// earlyAttach is an attach that came before the client has answered the relay's detach of the link with that handle.
// Some clients free a handle just before they send that answer. The attach is handled once the answer has come; until
// then everything on the handle belongs to the old link.
type earlyAttach struct {
	performative framing.Performative
	receivedAt   time.Time
}

// earlyAttachTimeout is how long after an early attach the answer to the detach may come.
const earlyAttachTimeout = closeTimeout

// memorySize returns about how many bytes it takes in memory.
func (e earlyAttach) memorySize() int { return outboxItemOverhead + e.performative.MemorySize() }

// deferAttach keeps an attach whose handle has a link, if the relay has detached that link, no other attach is kept for
// the handle, and the memory of all clients has room. It reports whether it did.
func (s *clientSession) deferAttach(handle uint32, attach framing.Performative) bool {
	if _, found := s.early[handle]; found || !s.links[handle].isDetached() {
		return false
	}
	kept := earlyAttach{performative: attach, receivedAt: time.Now()}
	if !s.client.memory.tryAdd(kept.memorySize()) {
		return false
	}
	if s.early == nil {
		s.early = make(map[uint32]earlyAttach)
	}
	s.early[handle] = kept
	return true
}

// dropEarlyAttaches drops the attaches that are kept, at the session's end.
func (s *clientSession) dropEarlyAttaches() {
	for handle, attach := range s.early {
		s.client.memory.add(-attach.memorySize())
		delete(s.early, handle)
	}
}

// checkEarlyAttaches returns a ConditionError if an early attach has waited for too long.
func (s *clientSession) checkEarlyAttaches() error {
	for handle, attach := range s.early {
		if time.Since(attach.receivedAt) > earlyAttachTimeout {
			return framing.Errorf(framing.CondHandleInUse, "handle %d has a link that was not detached", handle)
		}
	}
	return nil
}

// recordLeaving records a link that the client has detached, unless the relay has detached it too, and forgets those that
// the relay has detached meanwhile.
func (s *clientSession) recordLeaving(detached *link) {
	if s.leaving == nil {
		s.leaving = make(map[uint32]*link)
	}
	s.leaving[detached.client.handle] = detached
	for handle, l := range s.leaving {
		if l.client.isDetached() {
			delete(s.leaving, handle)
		}
	}
}

// finishLeaving detaches the link that had a handle before, if the relay has not. Otherwise its frames would come on the
// next link, which may begin as soon as the client has detached.
func (s *clientSession) finishLeaving(handle uint32) {
	if l := s.leaving[handle]; l != nil {
		l.detachNow()
		delete(s.leaving, handle)
	}
}

// disconnect marks the session as ended and ends the requests of all its links, after the client's connection was lost
// or a violation of the standard has ended it or the session.
func (s *clientSession) disconnect() {
	s.markEnded()
	s.dropEarlyAttaches()
	if s.endedByPeer {
		return // leave has ended the requests
	}
	for _, l := range s.links {
		l.handleDisconnect()
	}
}

// leave ends the requests of all links after the client has ended the session or closed the connection. Deliveries that
// wait are passed on first; activeLinks tells when all requests have ended.
func (s *clientSession) leave() {
	if s.endedByPeer {
		return
	}
	s.endedByPeer = true
	s.silence()
	s.markEnded()
	s.dropEarlyAttaches()
	for _, l := range s.links {
		l.handleSessionEnd()
	}
}

// errDeliveriesDropped is told to a client whose deliveries were dropped after it had ended their link, session or
// connection.
var errDeliveriesDropped = framing.Errorf(framing.CondInternalError, "the application server has not taken all deliveries")

// answerEnd sends the relay's end after leave, unless it was sent.
func (s *clientSession) answerEnd() error {
	end := framing.Performative{Code: framing.CodeEnd}
	if s.lostSome.Load() {
		end = framing.NewEnd(errDeliveriesDropped)
	}
	return s.writeEnd(end)
}

// handleFrame handles one frame of the session. A ConditionError ends the session, or the connection if it is a framing
// error. Any other error is an I/O error of the connection.
func (s *clientSession) handleFrame(frame framing.Frame) error {
	if err := s.checkEarlyAttaches(); err != nil {
		return err
	}
	switch frame.Code {
	case framing.CodeAttach:
		return s.handleAttach(frame.Performative)
	case framing.CodeFlow:
		return s.handleFlowFrame(frame)
	case framing.CodeTransfer:
		if err := s.receiveTransfer(true); err != nil {
			return err
		}
		return s.handleLinkFrame(frame, framing.TransferHandle)
	case framing.CodeDisposition:
		return s.handleDisposition(frame.Performative)
	case framing.CodeDetach:
		return s.handleLinkFrame(frame, framing.DetachHandle)
	case framing.CodeEnd:
		s.handleEnd()
		return nil
	}
	return framing.Errorf(framing.CondNotAllowed, "performative %#x has no place here", frame.Code)
}

// handleFlowFrame applies a flow's session fields, and passes a flow with a handle to its link.
func (s *clientSession) handleFlowFrame(frame framing.Frame) error {
	err := frame.RequireUint32(framing.FlowIncomingWindow, framing.FlowNextOutgoingID, framing.FlowOutgoingWindow)
	if err != nil {
		return err
	}
	s.applyFlow(frame.Performative)
	if frame.Field(framing.FlowHandle) != nil {
		return s.handleLinkFrame(frame, framing.FlowHandle)
	}
	if frame.Bool(framing.FlowEcho) {
		return s.sendFlow(framing.Performative{Code: framing.CodeFlow})
	}
	return nil
}

// handleDisposition passes a disposition to all links; each ignores the deliveries of other links.
func (s *clientSession) handleDisposition(disposition framing.Performative) error {
	if err := disposition.RequireUint32(framing.DispositionFirst); err != nil {
		return err
	}
	for _, l := range s.links {
		l.handleDisposition(disposition)
	}
	return nil
}

// handleEnd ends the requests of the session's links, and answers the client's end once they have ended.
func (s *clientSession) handleEnd() {
	s.leave()
	s.client.activeLinks.Go(func() {
		s.activeLinks.Wait()
		_ = s.answerEnd() // a failure also ends the connection's reader
	})
}

// handleLinkFrame passes a flow, transfer or detach to the link that its handle refers to.
func (s *clientSession) handleLinkFrame(frame framing.Frame, handleField int) error {
	if err := frame.RequireUint32(handleField); err != nil {
		return err
	}
	handle := frame.Uint32(handleField, 0)
	link := s.links[handle]
	if link == nil {
		return framing.Errorf(framing.CondUnattachedHandle, "handle %d has no link", handle)
	}
	switch frame.Code {
	case framing.CodeFlow:
		return link.handleFlow(frame.Performative)
	case framing.CodeTransfer:
		return link.handleTransfer(frame)
	}
	delete(s.links, handle)
	link.handleDetach(frame.Performative)
	s.recordLeaving(link)
	if attach, found := s.early[handle]; found {
		delete(s.early, handle)
		s.client.memory.add(-attach.memorySize())
		return s.handleAttach(attach.performative)
	}
	return nil
}

// attachCost is about how much processor time an attach takes that becomes a request.
const attachCost = 500 * time.Microsecond

// handleAttach starts the request of an attach, or rejects the attach with a detach.
func (s *clientSession) handleAttach(attach framing.Performative) error {
	if handle := attach.Uint32(framing.AttachHandle, 0); s.links[handle] != nil && s.deferAttach(handle, attach) {
		return nil
	}
	link, err := s.newLink(attach)
	if err != nil {
		return err
	}
	s.finishLeaving(link.client.handle)
	if s.client.checkDeparture(); s.client.departed {
		s.ignoreLink(link)
		return nil
	}
	s.links[link.client.handle] = link
	frontend := s.client.frontend
	request, attach, err := frontend.parseRequest(attach, s.client.containerID, link.name)
	if err == nil {
		err = checkAttachSize(attach)
	}
	link.attach = attach
	if err != nil {
		s.rejectInvalid(link, request.Class, err.Error(), framing.ConditionError{
			Condition: framing.CondInvalidField, Description: err.Error(),
		})
		return nil
	}
	if !frontend.Authenticator.Authorized(s.client.user, request.Class) {
		s.rejectInvalid(link, request.Class, "client is not authorized for the class of its attach", framing.Errorf(
			framing.CondUnauthorizedAccess, "%q may not open the class %q", s.client.user, request.Class,
		))
		return nil
	}
	s.client.meter.AddCost(attachCost)
	if release, ok := s.admit(link, request); ok {
		s.serveLink(link, request, release)
	}
	return nil
}

// newLink validates an attach and returns its link. An error ends the session, or the connection if it is a framing
// error.
func (s *clientSession) newLink(attach framing.Performative) (*link, error) {
	if err := attach.RequireUint32(framing.AttachHandle); err != nil {
		return nil, err
	}
	name, hasName := attach.Field(framing.AttachName).(string)
	isReceiver, hasRole := attach.Field(framing.AttachRole).(bool)
	handle := attach.Uint32(framing.AttachHandle, 0)
	switch {
	case !hasName || !hasRole:
		return nil, framing.Errorf(framing.CondInvalidField, "an attach has to tell its name and role")
	case handle > maxHandle: // section 2.7.2 requires closing the connection
		return nil, framing.Errorf(framing.CondFramingError, "handle %d is over the most", handle)
	case s.links[handle] != nil:
		return nil, framing.Errorf(framing.CondHandleInUse, "handle %d has a link", handle)
	}
	l := &link{
		frontend: s.client.frontend, client: newLinkEnd(s.session, handle, clientWindowTimeout), name: name,
		attach: attach, clientSends: !isReceiver, deliveries: newDeliveryMap(), memory: s.client.memory, meter: s.client.meter,
	}
	return l, s.checkFits(l.minimalAttach())
}

// checkFits returns a ConditionError if a performative does not fit into a frame to the client.
func (s *clientSession) checkFits(performative framing.Performative) error {
	conn := s.client.connection
	conn.mu.Lock()
	limit := int(conn.peerMaxFrameSize)
	conn.mu.Unlock()
	size := len(framing.AppendFrame(nil, framing.TypeAMQP, 0, performative, nil))
	return checkFrameSize(performative, size, limit)
}

// admit counts a link's request against the quotas and takes a slot of the connection limiter. It returns a function
// that releases the quotas. If a limit is reached, it rejects the attach and reports false.
func (s *clientSession) admit(link *link, request proxy.Request) (release func(), ok bool) {
	release, ok = s.client.frontend.Proxy.Admit(s.client.connection.RemoteAddr(), request)
	if !ok {
		s.rejectOverLimit(link, request, proxy.CauseQuotaExceeded, "its address or class has as many links as it may")
		return nil, false
	}
	if !s.client.admission.Acquire() {
		release()
		s.rejectOverLimit(link, request, proxy.CauseConnectionLimit, "the relay holds as many links as it may")
		return nil, false
	}
	return release, true
}

// serveLink starts the goroutine that serves a link's request. The client's connection waits for it to end.
func (s *clientSession) serveLink(link *link, request proxy.Request, release func()) {
	ctx, cancel := context.WithCancel(s.client.ctx)
	link.cancel = cancel
	s.activeLinks.Add(1)
	s.client.activeLinks.Go(func() {
		defer s.client.admission.Release()
		defer release()
		defer cancel()
		s.client.frontend.Proxy.Serve(ctx, request, link)
		if link.hasDroppedDeliveries() {
			s.lostSome.Store(true)
		}
		link.finish()
		s.activeLinks.Done()
		link.closeUpstream(ctx)
	})
}

// rejectInvalid rejects an attach that is malformed or not authorized, logs event and counts the failure.
func (s *clientSession) rejectInvalid(l *link, class, event string, err framing.ConditionError) {
	s.client.frontend.Proxy.ProtocolError("amqp", event)
	s.rejectAttach(l, err, nil)
	s.client.frontend.Proxy.Metrics.Class(class).CountFailed()
}

// rejectOverLimit rejects an attach that exceeds a limit, and says when to retry.
func (s *clientSession) rejectOverLimit(l *link, request proxy.Request, cause proxy.EndCause, description string) {
	retryAfter := s.client.frontend.Proxy.Reject(s.client.ctx, request, cause)
	s.rejectAttach(l, framing.Errorf(framing.CondResourceLimitExceeded, "%s", description), retryAfterInfo(retryAfter))
}

// rejectAttach detaches a link that never becomes a request. Until the client detaches it, the handle keeps a link
// without its attach: otherwise a client could make the relay hold hundreds of rejected attaches of 8 KiB each.
func (s *clientSession) rejectAttach(l *link, err framing.ConditionError, info codec.Map) {
	l.detach(err.Condition, err.Description, info)
	s.ignoreLink(l)
}

// ignoreLink makes the session ignore the client's frames on a link that never becomes a request.
func (s *clientSession) ignoreLink(l *link) {
	s.links[l.client.handle] = &link{
		frontend: l.frontend, client: l.client, clientSends: l.clientSends, deliveries: l.deliveries, detachSent: true,
	}
}
