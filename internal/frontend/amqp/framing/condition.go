package framing

import (
	"fmt"

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
	described, ok := p.Field(i).(codec.Described)
	if !ok {
		return "", nil
	}
	fields, _ := described.Value.(codec.List)
	if len(fields) == 0 {
		return "", nil
	}
	if len(fields) > 2 {
		info, _ = fields[2].(codec.Map)
	}
	return codec.AsString(fields[0]), info
}

// NewErrorValue returns a value of the standard's error type (section 2.8.14) for the error field of a detach, end or
// close. It returns nil, meaning no error, if the condition is empty.
func NewErrorValue(condition, description string, info codec.Map) any {
	if condition == "" {
		return nil
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
