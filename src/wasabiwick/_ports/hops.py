"""Port to other hosts that requests are passed to."""

import typing

from .._effects_hops import PassOn
from .._errors import Failure
from .endpoints import Answer, Exchange


class HopAnswer(Answer, typing.Protocol):
    """An endpoint's answer that came through another host; ``build`` is the endpoint's build."""

    build: str


class Hops(typing.Protocol):
    """Requests passed to other hosts.

    Attributes:
        address: Where this host takes requests of others, as ``host:port``.
        key: What others have to name in their requests.
    """

    address: str
    key: str

    def learn(self, host: str, key: str) -> None:
        """Keep the key that another host wants to be named."""

    async def pass_on(
        self, exchange: Exchange, effect: PassOn, *, seconds: float
    ) -> HopAnswer | Failure:
        """Pass a request to another host, and return the answer once its head has arrived."""

    def close(self) -> None:
        """Close all connections."""
