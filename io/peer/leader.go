package peer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// RoleLeader is the role of the entry that schedules, in its sessions.
const RoleLeader = "Leader"

// ErrSuperseded says that a leader of a later term is known.
var ErrSuperseded = eris.New("a later leader is known")

// LeaderSession holds the session of the last leader that a process has heard of.
// It is not safe for concurrent use.
type LeaderSession struct {
	// Session is nil while no leader is connected.
	Session *Session
	Term    int64
}

// Accept takes in a new session. One of an earlier term is refused, and the one
// before is closed.
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

// Clear takes in that a session ended, and returns whether it was the leader's.
func (l *LeaderSession) Clear(s *Session) bool {
	if l.Session != s {
		return false
	}

	l.Session = nil

	return true
}
