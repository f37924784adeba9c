// Package classifier numbers the ways in which a request or a command can end.
//
// Every refusal and failure that a caller or an operator can see carries one
// Code. The code says whether the request ran and which HTTP status goes with
// it; the command line uses the same number as its exit code.
package classifier

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran says what is known about the execution of a request.
type Ran string

const (
	// RanNo means that no upstream executed any part of the request.
	RanNo Ran = "not_run"
	// RanYes means that an upstream executed the request, wholly or in part.
	RanYes Ran = "ran"
	// RanUnknown means that an upstream may have executed the request.
	RanUnknown Ran = "unknown"
)

// Code is the number of a result: from 0 to MaxCode.
type Code int

// MaxCode is the largest exit status that a program may choose; shells use the
// larger ones for commands that didn't run or were ended by a signal.
const MaxCode Code = 125

// Result codes. The numbers are part of the public interface and never change.
const (
	OK Code = 0

	InvalidUsage      Code = 2
	InternalError     Code = 3
	ExpectationMissed Code = 4

	Unauthenticated     Code = 10
	Forbidden           Code = 11
	InvalidRequest      Code = 12
	BodyTooLarge        Code = 13
	SlowSender          Code = 14
	UnknownService      Code = 15
	UnknownClass        Code = 16
	KeyConflict         Code = 17
	KeyInProgress       Code = 18
	UnknownRequest      Code = 19
	HeadersTooLarge     Code = 20
	KeyTooLong          Code = 21
	NodeFull            Code = 30
	RateLimited         Code = 31
	ConcurrencyLimited  Code = 32
	TokensLimited       Code = 33
	TargetUnreachable   Code = 34
	QueueFull           Code = 35
	NoUpstream          Code = 36
	NodeLeaving         Code = 37
	ClaimUnavailable    Code = 38
	RetryBudgetSpent    Code = 39
	SettingsUnavailable Code = 40
	ClaimsFull          Code = 41
	RequestQuarantined  Code = 42
	UpstreamRateLimited Code = 43
	StreamUnknown       Code = 44
	StreamVersionGone   Code = 45
	StreamLost          Code = 46
	UpstreamUnreachable Code = 50
	UpstreamFailed      Code = 51
	UpstreamSilent      Code = 52
	OutcomeUnknown      Code = 53
	StreamBroken        Code = 54
	CallerGone          Code = 55
	AnswerNotKept       Code = 56
	NodeStopped         Code = 57
	SettingsInvalid     Code = 70
	EditConflict        Code = 71
	EditUnknown         Code = 72
	UnknownBranch       Code = 73
	PlatformUnavailable Code = 74
	NodeUnreachable     Code = 75
)

// Description is the fixed text of one result code.
type Description struct {
	// Code is the number that stands in logs, answers and exit statuses.
	Code Code
	// Name is the snake-case name that stands in answers, logs and counters.
	Name string
	// Status is the HTTP status that carries the code to callers.
	Status int
	// Ran is what the code says about execution.
	Ran Ran
	// Meaning is one sentence for operators.
	Meaning string
	// Action is one sentence on what the receiver should do.
	Action string
}

// Describe returns the description of a code, or that of InternalError when the code is unknown.
func Describe(code Code) Description {
	for i := range descriptions {
		if descriptions[i].Code == code {
			return descriptions[i]
		}
	}

	return Describe(InternalError)
}

// Descriptions returns all result codes in ascending order.
func Descriptions() []Description {
	return append([]Description(nil), descriptions...)
}

// String returns the snake-case name of the code.
func (c Code) String() string {
	return Describe(c).Name
}

// Error is a numbered result that ends a request or a command.
type Error struct {
	// Code is never OK.
	Code Code
	// Ran starts as the code's own value; only a narrower fact replaces it.
	Ran Ran
	// RetryAfter is the time until a new try makes sense; zero means that no time is known.
	RetryAfter time.Duration
	// Reason is a sentence for the receiver and holds no secret.
	Reason string
	cause  error
}

// New returns an Error with the code's own Ran value and a formatted reason.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Ran: Describe(code).Ran, Reason: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error like New that keeps cause for errors.Is and errors.As.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	wrapped := New(code, format, args...)
	wrapped.cause = cause

	return wrapped
}

// After returns the same error with the time until a new try makes sense.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfter = wait

	return e
}

// Error returns the code's name, the reason and the cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Reason, e.cause)
	}

	return fmt.Sprintf("%s: %s", e.Code, e.Reason)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// From finds the numbered result in err; any other error becomes InternalError.
// It returns nil for a nil error.
func From(err error) *Error {
	if err == nil {
		return nil
	}

	var numbered *Error
	if errors.As(err, &numbered) {
		return numbered
	}

	return Wrap(err, InternalError, "unexpected error")
}
