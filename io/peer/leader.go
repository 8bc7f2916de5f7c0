package peer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// RoleLeader is the role of the leader, the coordinator that holds the leader's
// lease, in the Hello of the sessions that it dials.
const RoleLeader = "Leader"

// ErrSuperseded says that a leader with a later term is known.
var ErrSuperseded = eris.New("a later leader is known")

// LeaderSession holds the session of the leader with the latest term that the
// process knows. It is not safe for concurrent use.
type LeaderSession struct {
	// Session is nil while no leader is connected.
	Session *Session
	Term    int64
}

// Accept makes s the leader's session and closes the previous one. If s is not a
// leader's or has an earlier term, it returns ErrSuperseded.
func (l *LeaderSession) Accept(s *Session) error {
	if s.Hello.GetRole() != RoleLeader || s.Hello.GetTerm() < l.Term {
		return fmt.Errorf("session of %s, term %d: %w", s.Hello.GetName(), s.Hello.GetTerm(), ErrSuperseded)
	}

	if l.Session != nil {
		l.Session.Close()
	}

	l.Session = s
	l.Term = s.Hello.GetTerm()

	return nil
}

// Clear removes s, which has ended. It reports whether s was the leader's session.
func (l *LeaderSession) Clear(s *Session) bool {
	if l.Session != s {
		return false
	}

	l.Session = nil

	return true
}
