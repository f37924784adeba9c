package storer

import (
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

// What is known about a failed call; test with errors.Is.
var (
	// ErrNotApplied means that the call surely changed nothing. Failed reads carry it always.
	ErrNotApplied = errors.New("the store did not apply the call")
	// ErrUnknown means that the write may have taken effect, now or later: its reply is lost.
	ErrUnknown = errors.New("the store may have applied the call")
	// ErrCompacted means that the revision asked for is no longer kept: list anew, then watch.
	ErrCompacted = errors.New("the revision is compacted")
	// ErrLeaseNotFound means that the lease has ended, and its keys with it.
	ErrLeaseNotFound = errors.New("the lease is not found")
	// ErrRefused means that the store finds the call itself wrong; repeating it is useless.
	ErrRefused = errors.New("the store refused the call")
	// ErrThrottled means that a rate is spent, the platform's or the client's own.
	ErrThrottled = errors.New("the store's rate is spent")
)

// gRPC status codes that the mapping answers with.
const (
	StatusInvalidArgument    = 3
	StatusNotFound           = 5
	StatusPermissionDenied   = 7
	StatusResourceExhausted  = 8
	StatusFailedPrecondition = 9
	StatusOutOfRange         = 11
	StatusUnimplemented      = 12
	StatusUnavailable        = 14
	StatusUnauthenticated    = 16
)

// Error is a failed call. It unwraps to a classifier.Error, then to the cause.
type Error struct {
	// Effect is ErrNotApplied or ErrUnknown.
	Effect error
	// Reason is ErrCompacted, ErrLeaseNotFound, ErrRefused, ErrThrottled, or nil when none of them fits.
	Reason error
	cause  error
}

// NotApplied returns an Error for a call that surely changed nothing.
func NotApplied(cause error) error {
	return notApplied(cause, nil)
}

// Throttled returns an Error for a call that a rate held back.
func Throttled(cause error) error {
	return notApplied(cause, ErrThrottled)
}

func notApplied(cause, reason error) error {
	numbered := classifier.Wrap(cause, classifier.PlatformUnavailable, "%s", ErrNotApplied)
	numbered.Ran = classifier.RanNo

	return &Error{Effect: ErrNotApplied, Reason: reason, cause: numbered}
}

// Unknown returns an Error for a write that may have taken effect.
func Unknown(cause error) error {
	numbered := classifier.Wrap(cause, classifier.PlatformUnavailable, "%s", ErrUnknown)
	numbered.Ran = classifier.RanUnknown

	return &Error{Effect: ErrUnknown, cause: numbered}
}

// FromStatus returns the Error for a gRPC status. A status that a store may also
// give after it passed a write on (unavailable, timeout, internal) leaves a write unknown.
func FromStatus(code int, message string, write bool) error {
	cause := errors.Newf("status %d: %s", code, message)
	switch code {
	case StatusOutOfRange:
		return notApplied(cause, ErrCompacted)
	case StatusNotFound:
		return notApplied(cause, ErrLeaseNotFound)
	case StatusResourceExhausted:
		return notApplied(cause, ErrThrottled)
	case StatusInvalidArgument, StatusPermissionDenied, StatusFailedPrecondition, StatusUnimplemented, StatusUnauthenticated:
		return notApplied(cause, ErrRefused)
	}
	if write {
		return Unknown(cause)
	}

	return NotApplied(cause)
}

// Error returns what is known and the cause.
func (e *Error) Error() string {
	return e.cause.Error()
}

// Is reports whether target is what is known about the call, or its reason.
// It stands here, not as a mark on the cause, because the standard library's errors.Is sees no marks.
func (e *Error) Is(target error) bool {
	return target == e.Effect || (e.Reason != nil && target == e.Reason)
}

// Unwrap returns the numbered cause.
func (e *Error) Unwrap() error {
	return e.cause
}
