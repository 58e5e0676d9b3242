"""Reasons for failures, and the failure value that is reported to the caller."""

import typing

from ._verdict import Verdict


class Reason:
    """The cause of a failure; there is one instance per cause.

    Args:
        code: Stable identifier for callers and logs.
        status: HTTP status of the answer.
        text: Message for people, used where a failure has no detail of its own.
    """

    __slots__ = ("code", "status", "text")
    _registry: typing.ClassVar[dict[str, "Reason"]] = {}

    def __init__(self, code: str, status: int, text: str) -> None:
        if code in Reason._registry:
            raise ValueError(f"reason code {code!r} is defined twice")
        self.code = code
        self.status = status
        self.text = text
        Reason._registry[code] = self

    def __repr__(self) -> str:
        return f"<{self.code}>"

    @classmethod
    def by_code(cls, code: str) -> "Reason":
        """Return the reason with this code.

        Raises:
            ValueError: If no reason has the code.
        """
        try:
            return cls._registry[code]
        except KeyError:
            raise ValueError(f"reason code {code!r} is not defined") from None


class Failure:
    """An error value: why a request failed and whether it may have run.

    Args:
        reason: Cause of the failure.
        verdict: Whether the request may have run.
        detail: Message that names what failed; the reason's text if empty.
        retry_after: Seconds after which a retry may succeed, or None if a retry does not help.
    """

    __slots__ = ("reason", "verdict", "detail", "retry_after")

    def __init__(
        self,
        *,
        reason: Reason,
        verdict: Verdict,
        detail: str = "",
        retry_after: float | None = None,
    ) -> None:
        self.reason = reason
        self.verdict = verdict
        self.detail = detail or reason.text
        self.retry_after = retry_after

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Failure):
            return NotImplemented
        return (self.reason, self.verdict, self.detail, self.retry_after) == (
            other.reason,
            other.verdict,
            other.detail,
            other.retry_after,
        )

    __hash__ = None

    def __repr__(self) -> str:
        return f"Failure({self.reason.code}, {self.verdict.value}, {self.detail!r})"


BAD_REQUEST = Reason("bad_request", 400, "the request is malformed")
BAD_KEY = Reason("bad_key", 401, "the API key is not known")
KEY_UNDECIDED = Reason("key_undecided", 503, "the API key is not known here yet")
KEY_REQUIRED = Reason("key_required", 400, "the service needs an Idempotency-Key")
KEY_UNTIMED = Reason("key_untimed", 400, "the Idempotency-Key must be a UUID of version 7")
KEY_EXPIRED = Reason("key_expired", 409, "the Idempotency-Key is older than the horizon")
KEY_REUSED = Reason("key_reused", 422, "the Idempotency-Key was used for another request")
NOT_FOUND = Reason("not_found", 404, "the path does not exist")
NO_ROUTE = Reason("no_route", 404, "no route takes this host and path")
ROUTES_BEHIND = Reason("routes_behind", 503, "no route takes this host and path here yet")
UNKNOWN_MODEL = Reason("unknown_model", 404, "the model does not exist")
UNKNOWN_SERVICE = Reason("unknown_service", 404, "the service does not exist")
NOT_ALLOWED = Reason("not_allowed", 403, "the plan does not include this")
REQUEST_TIMEOUT = Reason("request_timeout", 408, "the request did not arrive in time")
INTERNAL = Reason("internal", 500, "the host failed")
HOST_FAILED = Reason("host_failed", 503, "the host failed before it sent the request")
TOO_LARGE = Reason("too_large", 413, "the body is too large")
LIMIT_REACHED = Reason("limit_reached", 429, "the plan's limit is reached")
ORGANISATION_LIMIT = Reason(
    "organisation_limit", 429, "the organisation's limit over all hosts is reached"
)
OVERLOADED = Reason("overloaded", 503, "no capacity within the deadline")
NO_ENDPOINT = Reason("no_endpoint", 503, "no endpoint is available")
NO_CONFIGURATION = Reason("no_configuration", 503, "no configuration has been read yet")
BUILD_UNKNOWN = Reason("build_unknown", 503, "the build that began the stream is not known")
PART_BLOCKED = Reason("part_blocked", 503, "a part of the prompt made several endpoints end")
REQUEST_BLOCKED = Reason("request_blocked", 503, "the request made several endpoints end")
BODIES_FULL = Reason("bodies_full", 503, "the host holds as many bodies as it has memory for")
STOPPING = Reason("stopping", 503, "the host is stopping")
LOG_UNAVAILABLE = Reason("log_unavailable", 503, "the log service does not answer")
OUTCOME_UNKNOWN = Reason("outcome_unknown", 502, "the outcome of an earlier attempt is unknown")
SERVICE_GONE = Reason("service_gone", 503, "the service is no longer configured")
NOT_REACHED = Reason("not_reached", 503, "no endpoint can be reached")
OTHER_VERSION = Reason("other_version", 503, "the other host has another version of the routes")
HOST_LOST = Reason("host_lost", 502, "the other host was lost on the way")
HOST_UNREACHABLE = Reason("host_unreachable", 503, "the other host takes no connection")
HOST_FULL = Reason("host_full", 503, "the other host serves enough calls for others")
HOST_REFUSED = Reason("host_refused", 503, "the other host does not know this one")
ENDPOINT_FAILED = Reason("endpoint_failed", 502, "the endpoint failed")
ENDPOINT_UNREACHABLE = Reason("endpoint_unreachable", 502, "the endpoint takes no connection")
ENDPOINT_REFUSED = Reason("endpoint_refused", 503, "the endpoint refused the work")
ENDPOINT_CHANGED = Reason("endpoint_changed", 503, "the endpoint serves something else by now")
ENDPOINT_LEAVING = Reason("endpoint_leaving", 503, "the endpoint is leaving")
ENDPOINT_SILENT = Reason("endpoint_silent", 504, "the endpoint stopped answering")
UNREAD = Reason("unread", 502, "the caller left too much of the answer unread")
DEADLINE_PASSED = Reason("deadline_passed", 504, "the deadline passed")
SUPERSEDED = Reason("superseded", 409, "a newer call with the same key replaced this one")
