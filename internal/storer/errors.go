package storer

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

// Errors that classify a failed call; test for them with errors.Is.
var (
	// ErrNotApplied means that the call certainly changed nothing. Every failed read has it.
	ErrNotApplied = errors.New("the store did not apply the call")
	// ErrUnknown means that the write may have taken effect or still may: its response was lost.
	ErrUnknown = errors.New("the store may have applied the call")
	// ErrCompacted means that the store no longer keeps the requested revision: list again, then watch.
	ErrCompacted = errors.New("the revision is compacted")
	// ErrLeaseNotFound means that the lease has expired or was revoked, and its keys were deleted with it.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrRefused means that the store rejected the call itself; a retry can't succeed.
	ErrRefused = errors.New("the store refused the call")
	// ErrThrottled means that a rate limit is exceeded, the platform's or the client's own.
	ErrThrottled = errors.New("the store's rate limit is exceeded")
)

// gRPC status codes in the error responses of the etcd API's JSON mapping.
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

// Error describes a failed call. It unwraps to a classifier.Error, then to the cause.
type Error struct {
	// Effect says whether the call may have changed the store: ErrNotApplied or ErrUnknown.
	Effect error
	// Reason is ErrCompacted, ErrLeaseNotFound, ErrRefused, ErrThrottled, or nil if none applies.
	Reason error
	cause  error
}

// NotApplied returns an Error for a call that certainly changed nothing.
func NotApplied(cause error) error {
	return newNotApplied(cause, nil)
}

// Throttled returns an Error for a call that a rate limit rejected.
func Throttled(cause error) error {
	return newNotApplied(cause, ErrThrottled)
}

func newNotApplied(cause, reason error) error {
	classified := classifier.Wrap(cause, classifier.PlatformUnavailable, "%s", ErrNotApplied)
	classified.Ran = classifier.RanNo

	return &Error{Effect: ErrNotApplied, Reason: reason, cause: classified}
}

// Unknown returns an Error for a write that may have taken effect.
func Unknown(cause error) error {
	classified := classifier.Wrap(cause, classifier.PlatformUnavailable, "%s", ErrUnknown)
	classified.Ran = classifier.RanUnknown

	return &Error{Effect: ErrUnknown, cause: classified}
}

// FromStatus returns the Error for a gRPC status. A write gets ErrUnknown for a status that a store may also return after
// it forwarded the write (unavailable, timeout, internal).
func FromStatus(code int, message string, write bool) error {
	cause := errors.Newf("status %d: %s", code, message)
	switch code {
	case StatusOutOfRange:
		return newNotApplied(cause, ErrCompacted)
	case StatusNotFound:
		return newNotApplied(cause, ErrLeaseNotFound)
	case StatusResourceExhausted:
		return newNotApplied(cause, ErrThrottled)
	case StatusInvalidArgument, StatusPermissionDenied, StatusFailedPrecondition, StatusUnimplemented, StatusUnauthenticated:
		return newNotApplied(cause, ErrRefused)
	}
	if write {
		return Unknown(cause)
	}

	return NotApplied(cause)
}

// FromHTTPStatus returns the Error for the HTTP status of a write, or nil for 200. The cause describes the call. A rejected call
// had no effect in the store.
func FromHTTPStatus(status int, cause error) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return FromStatus(StatusNotFound, cause.Error(), true)
	case http.StatusTooManyRequests:
		return Throttled(cause)
	case http.StatusServiceUnavailable:
		return NotApplied(cause)
	default:
		return Unknown(cause)
	}
}

// Error returns the classification and the cause.
func (e *Error) Error() string {
	return e.cause.Error()
}

// Is reports whether target is the Effect or the Reason. It is a method rather than errors.Mark on the cause, because
// errors.Is of the standard library doesn't see marks.
func (e *Error) Is(target error) bool {
	return target == e.Effect || (e.Reason != nil && target == e.Reason)
}

// Unwrap returns the classifier.Error.
func (e *Error) Unwrap() error {
	return e.cause
}
