package framing

import (
	"fmt"
	"strings"

	"lockroad/internal/frontend/amqp/codec"
)

// Error conditions that the standard defines (sections 2.8.15 to 2.8.18).
const (
	CondInternalError         = "amqp:internal-error"
	CondDecodeError           = "amqp:decode-error"
	CondResourceLimitExceeded = "amqp:resource-limit-exceeded"
	CondNotAllowed            = "amqp:not-allowed"
	CondInvalidField          = "amqp:invalid-field"
	CondConnectionForced      = "amqp:connection:forced"
	CondFramingError          = "amqp:connection:framing-error"
	CondWindowViolation       = "amqp:session:window-violation"
	CondHandleInUse           = "amqp:session:handle-in-use"
	CondUnattachedHandle      = "amqp:session:unattached-handle"
	CondDetachForced          = "amqp:link:detach-forced"
	CondTransferLimitExceeded = "amqp:link:transfer-limit-exceeded"
	CondUnauthorizedAccess    = "amqp:unauthorized-access"
	CondFrameSizeTooSmall     = "amqp:frame-size-too-small"
)

// ConditionError is an error to be reported to the peer: one of the standard's conditions and a human-readable
// description.
type ConditionError struct {
	Condition   string
	Description string
}

// Error returns the condition and the description.
func (e ConditionError) Error() string { return e.Condition + ": " + e.Description }

// Condition returns the error condition and info in field i of a detach, end or close. Without an error the condition
// is empty.
func (p Performative) Condition(i int) (condition string, info codec.Map) {
	condition, _, info = p.ErrorFields(i)
	return condition, info
}

// ErrorFields returns the fields of the error in field i of a detach, end or close. Without an error all are empty.
func (p Performative) ErrorFields(i int) (condition, description string, info codec.Map) {
	described, ok := p.Field(i).(codec.Described)
	if !ok {
		return "", "", nil
	}
	fields, _ := described.Value.(codec.List)
	errorValue := Performative{Fields: fields}
	info, _ = errorValue.Field(2).(codec.Map)
	return codec.AsString(errorValue.Field(0)), codec.AsString(errorValue.Field(1)), info
}

// Bounds of an error's texts, in bytes. With them a detach, an end or a close without info fits into a frame of
// MinMaxFrameSize.
const (
	maxConditionSize   = 100
	maxDescriptionSize = 300
)

// WithoutErrorInfo returns a copy whose error in field i, if there is one, has no info.
func (p Performative) WithoutErrorInfo(i int) Performative {
	condition, description, _ := p.ErrorFields(i)
	return p.With(i, NewErrorValue(condition, description, nil))
}

// NewErrorValue returns a value of the standard's error type (section 2.8.14) for the error field of a detach, end or
// close. It returns nil, meaning no error, if the condition is empty. A condition that is too long, which only a peer
// can have sent, becomes an internal error; a description that is too long is cut.
func NewErrorValue(condition, description string, info codec.Map) any {
	if condition == "" {
		return nil
	}
	if len(condition) > maxConditionSize {
		condition = CondInternalError
	}
	if len(description) > maxDescriptionSize {
		description = strings.ToValidUTF8(description[:maxDescriptionSize], "")
	}
	fields := codec.List{codec.Symbol(condition), description}
	if info != nil {
		fields = append(fields, info)
	}
	return codec.Described{Descriptor: uint64(CodeError), Value: fields}
}

// Errorf returns a ConditionError whose description is formatted as by fmt.Sprintf.
func Errorf(condition, format string, args ...any) ConditionError {
	return ConditionError{Condition: condition, Description: fmt.Sprintf(format, args...)}
}

// NewClose returns a close that reports an error to the peer.
func NewClose(err ConditionError) Performative {
	return Performative{Code: CodeClose, Fields: codec.List{NewErrorValue(err.Condition, err.Description, nil)}}
}

// NewEnd returns an end that reports an error to the peer.
func NewEnd(err ConditionError) Performative {
	return Performative{Code: CodeEnd, Fields: codec.List{NewErrorValue(err.Condition, err.Description, nil)}}
}
