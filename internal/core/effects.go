package core

// Effect is something that the core has decided and that its host carries out. Effects with a CallID are calls; each is
// answered by one Result with the same ID.
type Effect interface{ effect() }

// Response ends a waiting request.
type Response struct {
	RequestID   uint64
	Status      int // of HTTP
	Body        any
	RetryAfterS int // of the header Retry-After; 0: there is none
}

// Level is the level of a log line.
type Level int

// The levels.
const (
	Debug Level = iota
	Info
	Error
)

// Log is a log line: a message and pairs of names and values.
type Log struct {
	Level   Level
	Message string
	Fields  []any
}

func (Response) effect() {}
func (Log) effect()      {}
