package controller

import "fmt"

// disconnectReason tells why the controller closes a client's connection, as the log says it.
type disconnectReason string

const (
	malformedMessage    disconnectReason = "malformed message"
	duplicateMessageID  disconnectReason = "message id of an open call used again"
	tooManyOpenQueries  disconnectReason = "more open queries than allowed"
	tooManyInvalidCalls disconnectReason = "too many invalid calls"
	tooManyMessages     disconnectReason = "more messages than allowed"
	answersUnread       disconnectReason = "reads no answers"
	messageOverdue      disconnectReason = "message not complete in time"
	idleTooLong         disconnectReason = "idle"
	unreadMemoryFull    disconnectReason = "most unread bytes while their memory is full"
	bufferMemoryFull    disconnectReason = "largest incomplete message while the buffer memory is full"
)

// disconnect closes the connection from the controller's side; its open calls get no answers. For graceful,
// see closeConnectionWithin.
func (cl *client) disconnect(reason disconnectReason, graceful bool) {
	if !cl.connection.closed {
		cl.counters.unansweredCalls += len(cl.calls)
		cl.logMessage(infoLevel, fmt.Sprintf(
			"closing the connection of client %v: %s; open calls: %d, buffered bytes: %d",
			cl.connection.RemoteAddress, reason, len(cl.calls), cl.connection.bufferBytes))
	}
	cl.closeConnection(cl.connection, graceful)
	cl.abandonAllCalls()
}
