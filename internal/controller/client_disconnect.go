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

// disconnectOverdue closes the connection of a client whose message isn't complete in time, at once if the
// client reads nothing.
func (cl *client) disconnectOverdue() {
	if cl.stalledSince < 0 {
		cl.disconnectIfIdle(messageOverdue, &cl.counters.disconnected)
		return
	}
	cl.counters.disconnected++
	cl.disconnect(messageOverdue, immediately)
}

// disconnectIfIdle closes the connection of a client that has no open call and counts it, unless input is
// pending: the rest of a message may have arrived in time and not been read.
func (cl *client) disconnectIfIdle(reason disconnectReason, counter *int) {
	*counter++
	cl.logDisconnect(reason)
	cl.closeIfIdle(cl.connection, messageTimeout, func() {
		*counter--
		cl.hasPendingInput = true
		cl.logMessage(infoLevel, fmt.Sprintf("keeping the connection of client %v: it has sent more",
			cl.connection.RemoteAddress))
	})
}

func (cl *client) logDisconnect(reason disconnectReason) {
	cl.logMessage(infoLevel, fmt.Sprintf(
		"closing the connection of client %v: %s; open calls: %d, buffered bytes: %d",
		cl.connection.RemoteAddress, reason, len(cl.calls), cl.connection.bufferBytes))
}

// disconnect closes the connection from the controller's side; its open calls get no answers. For graceful,
// see closeConnectionWithin.
func (cl *client) disconnect(reason disconnectReason, graceful bool) {
	if !cl.connection.closed {
		cl.counters.unansweredCalls += len(cl.calls)
		cl.logDisconnect(reason)
	}
	cl.closeConnection(cl.connection, graceful)
	cl.abandonAllCalls()
}
