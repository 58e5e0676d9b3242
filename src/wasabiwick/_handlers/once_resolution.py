"""How to recover a call whose outcome is unknown, by what operators declare about its service."""

import typing

from .._lists import ServiceTraits

HONOURED = "honoured"


class Resolution:
    """One way to recover from an unknown outcome.

    Args:
        name: Name for logs and metrics.
        takes_over: Before anything is sent, a new attempt replaces the winner in the log.
        queries: The service is first asked for the outcome by the call's key.
        repeats: The call is sent again, at once or after a query that found nothing.
    """

    __slots__ = ("name", "takes_over", "queries", "repeats")

    def __init__(
        self,
        name: str,
        *,
        takes_over: bool = False,
        queries: bool = False,
        repeats: bool = False,
    ) -> None:
        self.name = name
        self.takes_over = takes_over
        self.queries = queries
        self.repeats = repeats


UNRESOLVED = Resolution("unresolved")
SEND_AGAIN = Resolution("send_again", takes_over=True, repeats=True)
QUERY = Resolution("query", queries=True)
FENCED_QUERY = Resolution("fenced_query", takes_over=True, queries=True, repeats=True)

Traits = tuple[bool, bool, bool]  # Whether a service accepts keys, can be queried, is fenced.

_REGISTRY: dict[Traits, typing.Callable[[], Resolution]] = {}


def register_resolution(
    *, accepts_key: bool, can_query: bool, fenced: bool
) -> typing.Callable[[typing.Callable[[], Resolution]], typing.Callable[[], Resolution]]:
    """Register the way to recover for one combination of a service's traits."""

    def register(choose: typing.Callable[[], Resolution]) -> typing.Callable[[], Resolution]:
        traits = (accepts_key, can_query, fenced)
        if traits in _REGISTRY:
            raise ValueError(f"traits {traits!r} have more than one resolution")
        _REGISTRY[traits] = choose
        return choose

    return register


@register_resolution(accepts_key=True, can_query=False, fenced=False)
@register_resolution(accepts_key=True, can_query=False, fenced=True)
@register_resolution(accepts_key=True, can_query=True, fenced=False)
@register_resolution(accepts_key=True, can_query=True, fenced=True)
def send_again() -> Resolution:
    """Send the call again: the service itself runs a key at most once."""
    return SEND_AGAIN


@register_resolution(accepts_key=False, can_query=True, fenced=True)
def fenced_query() -> Resolution:
    """Query with a newer fencing number, then send the call if it did not run.

    The service refuses a late call with the older number, so "did not run" stays true.
    """
    return FENCED_QUERY


@register_resolution(accepts_key=False, can_query=True, fenced=False)
def query() -> Resolution:
    """Query the service, but do not send the call again.

    A call that has not run yet may still arrive, so the answer "did not run" proves nothing.
    """
    return QUERY


@register_resolution(accepts_key=False, can_query=False, fenced=True)
@register_resolution(accepts_key=False, can_query=False, fenced=False)
def unresolved() -> Resolution:
    """Leave the outcome unknown: fencing stops late calls, but does not show what already ran."""
    return UNRESOLVED


def resolution_of(traits: ServiceTraits | None) -> Resolution:
    """Return the way to recover that a service's declared traits allow."""
    if traits is None:
        return UNRESOLVED
    fenced = traits.fencing == HONOURED
    return _REGISTRY[(traits.accepts_key, traits.can_query, fenced)]()
