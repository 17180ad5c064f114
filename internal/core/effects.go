package core

// Effect is an action that the core has decided on and that its host carries out. An effect with a CallID is a call,
// which the host answers with one Result that has the same CallID.
type Effect interface{ effect() }

// Response is the response to a request.
type Response struct {
	RequestID   uint64
	Status      int // HTTP status code
	Body        any
	RetryAfterS int // value of the Retry-After header in seconds; 0: no header
}

// Level is the level of a log line.
type Level int

// The log levels, in increasing order of severity.
const (
	Debug Level = iota
	Info
	Error
)

// Log is a log line. Fields alternates between names and values.
type Log struct {
	Level   Level
	Message string
	Fields  []any
}

func (Response) effect() {}
func (Log) effect()      {}
