"""Ports to other hosts: datagrams, and the register through which hosts find each other."""

import typing

from .._effects_forwarding import AnswerPermit, AskPermit, SaveStreams, TellLoad
from .._errors import Failure
from .._forwarding import MAX_SAVED_AGE_S, BegunStream, Findings, Listing, SavedBuilds
from .._hosts_codec import HostRecord
from .._read_turns import ToldPage
from .._wire import Owner


class Datagrams(typing.Protocol):
    """Datagrams to other hosts; ``address`` is where this host receives them."""

    address: str

    def catch_up(self, at: float) -> None:
        """Post the datagrams that have come, if they are not read at once, before an event."""

    def send_load(self, owner: Owner, zone: str, effect: TellLoad) -> None:
        """Send this host's load to other hosts; a datagram may be lost."""

    def ask_permit(self, owner: Owner, effect: AskPermit) -> None:
        """Ask another host whether an endpoint's limit has room."""

    def send_page(self, addresses: tuple[str, ...], page: ToldPage) -> None:
        """Tell other hosts what this one read of the store; a datagram may be lost."""

    def answer_permit(self, effect: AnswerPermit) -> None:
        """Answer another host's question."""


class SavedStreams:
    """Streams that hosts saved, by the host, and what each host had seen of builds.

    An entry of ``builds`` holds the services with several builds: each build, with the seconds
    since it was listed. ``saved`` holds the builds at which each host's streams may have begun,
    and ``era`` is the store's. ``history`` holds the entries of the list of endpoints since they
    were saved, if asked for.
    """

    __slots__ = ("streams", "builds", "saved", "era", "history")

    def __init__(
        self,
        *,
        streams: dict[str, tuple[BegunStream, ...]],
        builds: list[dict[str, dict[str, float]]],
        saved: dict[str, SavedBuilds],
        era: int,
    ) -> None:
        self.streams = streams
        self.builds = builds
        self.saved = saved
        self.era = era
        self.history: tuple[Listing, ...] = ()

    @property
    def listed_upto(self) -> int | None:
        """Earliest position up to which a host had read the list of endpoints when it saved.

        None if no host has saved anything that is believed.
        """
        believed = [one for one in self.saved.values() if one.age <= MAX_SAVED_AGE_S]
        return min(
            (one.listed_upto or 0 if one.era == self.era else 0 for one in believed),
            default=None,
        )


class HostRegister(typing.Protocol):
    """Register that the hosts share: hosts, their streams, and claims to order stage changes."""

    async def announce(self, host: str, record: HostRecord) -> Failure | None:
        """Register a host."""

    async def last_claim(self) -> tuple[int, str] | Failure:
        """Return the end offset of the log of claims, and the last holder or an empty string."""

    async def claim(self, holder: str, after: int) -> int | Failure:
        """Claim the right to order stage changes; fails if the log of claims is beyond ``after``.

        Returns the offset of the claim.
        """

    async def hosts(self) -> dict[str, HostRecord] | Failure:
        """Return the records of all hosts that ever registered, by name."""

    async def save_streams(self, host: str, effect: SaveStreams, now: float) -> Failure | None:
        """Save a host's streams in place of those that it saved before."""

    async def saved_streams(self, now: float, *, history: bool = False) -> SavedStreams | Failure:
        """Return the streams that each host saved last.

        ``history`` adds the entries of the list of endpoints since then, as far as they are kept.
        """

    async def save_findings(self, findings: Findings, now: float) -> Failure | None:
        """Save what a host has found in place of what it saved before."""
