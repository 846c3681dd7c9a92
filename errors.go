package notch

import "github.com/pkg/errors"

// The errors that callers test with errors.Is.
var (
	// ErrResultUnknown reports that the outcome of a command couldn't be learned. The
	// command may be sent again with the same id.
	ErrResultUnknown = errors.New("outcome not known: resend with the same id")
	// ErrNotRun reports that the work provably did not run.
	ErrNotRun = errors.New("not run")
	// ErrConflict reports that an edit was based on another version of the table.
	ErrConflict = errors.New("conflict: the table has another version")
	// ErrInvalid reports that an edit or a job breaks a validation rule.
	ErrInvalid = errors.New("invalid")
	// ErrCorrupt reports that the data on disk is damaged.
	ErrCorrupt = errors.New("journal corrupt")
	// ErrNoLease reports that the entry holds no lease, so that its tables may be out of date.
	ErrNoLease = errors.New("no lease from control: requests are refused")
	// ErrClosed reports that the process is stopping.
	ErrClosed = errors.New("closed")
)
