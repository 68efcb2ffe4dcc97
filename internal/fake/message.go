package fake

import (
	"fmt"
	"time"
)

// messageFormat is the format of a client's message: its sequence number in the session, its
// time in microseconds since 1970, and the name of the request.
const messageFormat = "N %d %d %s"

func newMessage(sequence int, name string) string {
	return fmt.Sprintf(messageFormat, sequence, time.Now().UnixMicro(), name)
}

// readMessage parses a message. It returns the time since it was sent, and whether it is the
// expected one, unaltered.
func readMessage(text string, sequence int, name string) (took time.Duration, ok bool) {
	var gotSequence int
	var microseconds int64
	var gotName string
	if _, err := fmt.Sscanf(text, messageFormat, &gotSequence, &microseconds, &gotName); err != nil {
		return 0, false
	}
	unaltered := text == fmt.Sprintf(messageFormat, gotSequence, microseconds, gotName)
	return time.Since(time.UnixMicro(microseconds)), gotSequence == sequence && gotName == name && unaltered
}
