package controller

import (
	"hash/maphash"
	"slices"
	"time"
)

// duplicateWindow is how long after a result a duplicate of it may arrive on its connection.
const duplicateWindow = maxNetworkDelay

// recentResults are the results that a connection has delivered within duplicateWindow. Nothing in a result
// names its query: a duplicate that arrives while the connection carries a call of another query could be
// read as that query's result.
type recentResults []recentResult

// recentResult is a result, or a page of one, as an engine has sent it.
type recentResult struct {
	queryID string
	digest  uint64
	readAt  time.Duration
}

var resultDigestSeed = maphash.MakeSeed()

// isDuplicate reports whether a result that was read for a query is equal to a recent one of another query.
// Equal results of two queries look the same; asking once more tells them from a duplicate. Any other result
// is recorded.
func (r *recentResults) isDuplicate(now time.Duration, queryID string, body []byte) bool {
	*r = slices.DeleteFunc(*r, func(x recentResult) bool { return now-x.readAt > duplicateWindow })
	result := recentResult{queryID: queryID, digest: maphash.Bytes(resultDigestSeed, body), readAt: now}
	for _, x := range *r {
		if x.queryID != queryID && x.digest == result.digest {
			return true
		}
	}
	*r = append(*r, result)
	return false
}

// rejectDuplicate closes a connection whose response may be a duplicate of another query's result. The call
// is repeated on a connection that can't deliver a duplicate any more.
func (c *Controller) rejectDuplicate(ec *engineConnection, request *call) {
	c.counters.duplicateResults++
	request.attempt.avoidsDuplicates = true
	if c.TraceQueries {
		c.trace(request.attempt.logFields(), "%s on connection %d: the result of another query again",
			request.method, ec.number)
	}
	c.closeEngineConnection(ec)
	c.failCall(ec, callMalformedResponse)
}
