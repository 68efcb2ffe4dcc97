package framing

// Indices of fields in an open (section 2.7.1).
const (
	OpenContainerID  = 0
	OpenMaxFrameSize = 2
	OpenChannelMax   = 3
	OpenIdleTimeout  = 4 // milliseconds
)

// Indices of fields in a begin (section 2.7.2).
const (
	BeginRemoteChannel  = 0
	BeginNextOutgoingID = 1
	BeginIncomingWindow = 2
	BeginOutgoingWindow = 3
)

// Indices of fields in an attach (section 2.7.3).
const (
	AttachName                 = 0
	AttachHandle               = 1
	AttachRole                 = 2 // true: receiver
	AttachSndSettleMode        = 3
	AttachRcvSettleMode        = 4
	AttachSource               = 5
	AttachTarget               = 6
	AttachInitialDeliveryCount = 9
	AttachProperties           = 13
)

// Indices of fields in a flow (section 2.7.4). A flow without a handle concerns only the session.
const (
	FlowNextIncomingID = 0
	FlowIncomingWindow = 1
	FlowNextOutgoingID = 2
	FlowOutgoingWindow = 3
	FlowHandle         = 4
	FlowDeliveryCount  = 5
	FlowLinkCredit     = 6
	FlowDrain          = 8
	FlowEcho           = 9
	FlowProperties     = 10
)

// Indices of fields in a transfer (section 2.7.5).
const (
	TransferHandle      = 0
	TransferDeliveryID  = 1
	TransferDeliveryTag = 2
	TransferSettled     = 4
	TransferMore        = 5
	TransferState       = 7
	TransferAborted     = 9
)

// Indices of fields in a disposition (section 2.7.6).
const (
	DispositionRole    = 0 // true: receiver
	DispositionFirst   = 1
	DispositionLast    = 2
	DispositionSettled = 3
	DispositionState   = 4
)

// Indices of fields in a detach, an end and a close (sections 2.7.7 to 2.7.9).
const (
	DetachHandle = 0
	DetachError  = 2
	EndError     = 0
	CloseError   = 0
)

// Indices of fields in SASL frames (section 5.3.3).
const (
	SASLMechanismsOffered   = 0
	SASLInitMechanism       = 0
	SASLInitInitialResponse = 1
	SASLOutcomeCode         = 0
)
