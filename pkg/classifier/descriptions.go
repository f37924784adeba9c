package classifier

import "net/http"

// statusCallerGone is the status that is logged when no caller is left to read one.
const statusCallerGone = 499

var descriptions = []Description{
	{OK, "ok", http.StatusOK, RanYes, "The request or command succeeded.", "Nothing."},
	{InvalidUsage, "invalid_usage", http.StatusBadRequest, RanNo, "A command line can't be understood.", "Read the command's --help."},
	{InternalError, "internal_error", http.StatusInternalServerError, RanUnknown, "The node met an error that it has no code for.", "Report it with the request id."},
	{ExpectationMissed, "expectation_missed", http.StatusOK, RanYes, "A replay missed a stated outcome.", "Read the report's rows marked missed."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, RanNo, "The bearer key is missing or belongs to nobody.", "Send a key that the settings tree lists."},
	{Forbidden, "forbidden", http.StatusForbidden, RanNo, "The credential doesn't allow this call.", "Use a credential of the right kind."},
	{InvalidRequest, "invalid_request", http.StatusBadRequest, RanNo, "The request can't be understood.", "Correct what the reason names."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RanNo, "The body is larger than the node takes.", "Send a smaller body."},
	{SlowSender, "slow_sender", http.StatusRequestTimeout, RanNo, "The request didn't arrive in the time allowed.", "Send it again on a new connection."},
	{UnknownService, "unknown_service", http.StatusNotFound, RanNo, "No service of this name exists in the settings tree.", "List the names with GET /v1/models."},
	{UnknownClass, "unknown_class", http.StatusBadRequest, RanNo, "The service has no request class of this name.", "Send a class that the settings tree lists."},
	{KeyConflict, "key_conflict", http.StatusUnprocessableEntity, RanNo, "The idempotency key was used with another body.", "Use a new key for a new request."},
	{KeyInProgress, "key_in_progress", http.StatusConflict, RanUnknown, "The request with this idempotency key is still running.", "Ask again after the time given."},
	{UnknownRequest, "unknown_request", http.StatusNotFound, RanUnknown, "The request id is unknown, or its answer is no longer kept.", "Send the request again if it may be repeated."},
	{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, RanNo, "The headers are larger than the node takes.", "Send smaller headers."},
	{KeyTooLong, "key_too_long", http.StatusBadRequest, RanNo, "The idempotency key is too long.", "Use a key of at most 200 bytes."},
	{NodeFull, "node_full", http.StatusServiceUnavailable, RanNo, "The node has as many requests in flight as it takes.", "Try another entry, or this one after the time given."},
	{RateLimited, "rate_limited", http.StatusTooManyRequests, RanNo, "The organisation sends more requests a second than it may.", "Come back after the time given."},
	{ConcurrencyLimited, "concurrency_limited", http.StatusTooManyRequests, RanNo, "The organisation has as many requests at once as it may.", "Come back after the time given."},
	{TokensLimited, "tokens_limited", http.StatusTooManyRequests, RanNo, "The organisation uses more tokens a second than it may.", "Come back after the time given."},
	{TargetUnreachable, "target_unreachable", http.StatusServiceUnavailable, RanNo, "The class's target can no longer be met.", "Come back after the time given."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, RanNo, "The service's queue is full for this class.", "Come back after the time given."},
	{NoUpstream, "no_upstream", http.StatusServiceUnavailable, RanNo, "No upstream of the service can take the request.", "Come back after the time given."},
	{NodeLeaving, "node_leaving", http.StatusServiceUnavailable, RanNo, "The node is stopping and takes no new requests.", "Ask GET /v1/entries for another node."},
	{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, RanNo, "A request that is not repeatable can't be recorded now.", "Come back after the time given."},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusBadGateway, RanUnknown, "An upstream failed and the class's retry budget is spent.", "Come back after the time given."},
	{SettingsUnavailable, "settings_unavailable", http.StatusServiceUnavailable, RanNo, "The node has no settings tree yet.", "Try another entry."},
	{UpstreamUnreachable, "upstream_unreachable", http.StatusBadGateway, RanNo, "No connection to an upstream could be made.", "Come back after the time given."},
	{UpstreamFailed, "upstream_failed", http.StatusBadGateway, RanUnknown, "The upstream failed after the request was sent.", "Repeat it only if it may run twice."},
	{UpstreamSilent, "upstream_silent", http.StatusGatewayTimeout, RanUnknown, "The upstream sent no bytes within the class's gap limit.", "Repeat it only if it may run twice."},
	{OutcomeUnknown, "outcome_unknown", http.StatusConflict, RanUnknown, "The earlier run of this idempotency key has no recorded result.", "Check the effect itself; it is not run again."},
	{StreamBroken, "stream_broken", http.StatusBadGateway, RanYes, "The answer broke off and could not be resumed.", "Repeat it if it may run twice."},
	{CallerGone, "caller_gone", statusCallerGone, RanUnknown, "The caller closed its connection before the answer ended.", "Nothing."},
	{AnswerNotKept, "answer_not_kept", http.StatusConflict, RanYes, "The request ran once and its answer is no longer known.", "Check the effect itself; it is not run again."},
	{SettingsInvalid, "settings_invalid", http.StatusBadRequest, RanNo, "A settings file or branch breaks a rule.", "Correct the line that is named."},
	{EditConflict, "edit_conflict", http.StatusConflict, RanNo, "The branch changed since the edit was begun.", "Read the difference and edit again."},
	{EditUnknown, "edit_unknown", http.StatusGatewayTimeout, RanUnknown, "It is not known whether the edit was applied.", "Ask again with the same change id."},
	{UnknownBranch, "unknown_branch", http.StatusNotFound, RanNo, "The settings tree has no such branch.", "List the branches with tree get."},
	{PlatformUnavailable, "platform_unavailable", http.StatusServiceUnavailable, RanNo, "The platform's key-value service doesn't answer.", "Try again when it is back."},
	{NodeUnreachable, "node_unreachable", http.StatusServiceUnavailable, RanNo, "The node doesn't answer.", "Name another node."},
}
