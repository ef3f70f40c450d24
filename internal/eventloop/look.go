package eventloop

import "time"

// mayWrite asks the fleet's word, by the clock as it is now: the process may have been
// stopped since the reducer asked. If it says yes, wrote must follow.
func (l *loop) mayWrite(g guard) bool {
	return l.word.Enter(time.Since(l.start), g.version, g.bound)
}

// wrote ends what mayWrite began.
func (l *loop) wrote() { l.word.Leave() }
