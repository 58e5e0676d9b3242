"""Recovery of a call whose outcome is unknown, chosen by what its service is declared to offer."""

import typing

from .._lists import ServiceTraits

HONOURED = "honoured"


class Resolution:
    """One way to recover from an unknown outcome.

    Args:
        name: Name for logs and metrics.
        takes_over: A new attempt replaces the winner in the log before anything is sent.
        queries: The service is asked by key first.
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

Traits = tuple[bool, bool, bool]  # accepts_key, can_query, fenced.

_REGISTRY: dict[Traits, typing.Callable[[], Resolution]] = {}


def resolves(
    *, accepts_key: bool, can_query: bool, fenced: bool
) -> typing.Callable[[typing.Callable[[], Resolution]], typing.Callable[[], Resolution]]:
    """Register the resolution for one combination of traits."""

    def register(choose: typing.Callable[[], Resolution]) -> typing.Callable[[], Resolution]:
        traits = (accepts_key, can_query, fenced)
        if traits in _REGISTRY:
            raise ValueError(f"traits {traits!r} have more than one resolution")
        _REGISTRY[traits] = choose
        return choose

    return register


@resolves(accepts_key=True, can_query=False, fenced=False)
@resolves(accepts_key=True, can_query=False, fenced=True)
@resolves(accepts_key=True, can_query=True, fenced=False)
@resolves(accepts_key=True, can_query=True, fenced=True)
def send_again() -> Resolution:
    """Send the call again: the service itself runs a key at most once."""
    return SEND_AGAIN


@resolves(accepts_key=False, can_query=True, fenced=True)
def fenced_query() -> Resolution:
    """Ask with a newer fencing number, so that "did not run" stays true, then send the call."""
    return FENCED_QUERY


@resolves(accepts_key=False, can_query=True, fenced=False)
def query() -> Resolution:
    """Ask only: a call that has not run yet may still arrive, so "did not run" settles nothing."""
    return QUERY


@resolves(accepts_key=False, can_query=False, fenced=True)
@resolves(accepts_key=False, can_query=False, fenced=False)
def unresolved() -> Resolution:
    """Leave it unknown: fencing stops a late call but does not tell what an early one did."""
    return UNRESOLVED


def resolution_of(traits: ServiceTraits | None) -> Resolution:
    """Return the resolution that a service's declared traits allow."""
    if traits is None:
        return UNRESOLVED
    fenced = traits.fencing == HONOURED
    return _REGISTRY[(traits.accepts_key, traits.can_query, fenced)]()
