package notch

import "github.com/pkg/errors"

// The errors that callers test with errors.Is.
var (
	// ErrNotKnown says that an outcome couldn't be learned; the same command
	// may be sent again with the same id.
	ErrNotKnown = errors.New("outcome not known: resend with the same id")
	// ErrNotRun says that the work provably did not run.
	ErrNotRun = errors.New("not run")
	// ErrUnknownOutcome says that the work may have run.
	ErrUnknownOutcome = errors.New("outcome unknown: the work may have run")
	// ErrConflict says that an edit was based on another version.
	ErrConflict = errors.New("conflict: the table has another version")
	// ErrInvalid says that an edit or a job breaks a rule.
	ErrInvalid = errors.New("invalid")
	// ErrCorrupt says that durable state can't be read back.
	ErrCorrupt = errors.New("journal corrupt")
	// ErrClosed says that the process is stopping.
	ErrClosed = errors.New("closed")
)
