package controller

import "fmt"

// logLevel is the level of a line that logMessage logs.
type logLevel int

const (
	infoLevel logLevel = iota
	warningLevel
)

// logMessage logs a line about the controller as a whole.
func (c *Controller) logMessage(level logLevel, text string) {
	c.emit(Effect{Kind: LogMessage, Warning: level == warningLevel, Text: text})
}

// logWithFields logs a line about the subject that fields identify, at info level.
func (c *Controller) logWithFields(fields LogFields, text string) {
	c.emit(Effect{Kind: LogMessage, Text: text, Fields: fields})
}

// trace logs a step of a query at debug level. Callers check TraceQueries first, so that nothing is
// formatted for a log that is off.
func (c *Controller) trace(fields LogFields, format string, values ...any) {
	c.emit(Effect{Kind: LogMessage, Trace: true, Fields: fields, Text: fmt.Sprintf(format, values...)})
}

func (c *Controller) logCounters() {
	c.emit(Effect{Kind: LogCounters, Text: c.counters.format(c), QueryCount: c.counters.received})
}

func (q *query) logFields() LogFields { return LogFields{Query: q.id, Group: q.group.name} }

func (a *attempt) logFields() LogFields {
	fields := a.query.logFields()
	fields.Engine = a.engine.id
	fields.Attempt = a.number + 1
	return fields
}
