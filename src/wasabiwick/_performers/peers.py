"""Sends messages to other hosts in batches; while one is in flight, new messages wait."""

from .._effects import SendPeer
from .._errors import Failure
from .._events import PeerFailed
from .._handlers import members
from .._runner import Runner, performs
from .._verdict import Verdict
from .._wire import Envelope, Message


class Mailbox:
    """Messages that wait to be sent to one host."""

    __slots__ = ("waiting", "sending")

    def __init__(self) -> None:
        self.waiting: list[Message] = []
        self.sending = False


@performs(SendPeer)
def send(runner: Runner, effect: SendPeer) -> None:
    """Queue a message, and start sending unless a batch to the host is in flight."""
    mailbox = runner.mailboxes.setdefault(effect.host, Mailbox())
    mailbox.waiting.append(effect.message)
    if not mailbox.sending:
        mailbox.sending = True
        runner.spawn(f"peer/{effect.host}", _deliver(runner, effect.host, mailbox))


async def _deliver(runner: Runner, host: str, mailbox: Mailbox) -> None:
    try:
        while mailbox.waiting:
            batch = tuple(mailbox.waiting)
            mailbox.waiting.clear()
            await _deliver_batch(runner, host, batch)
    finally:
        mailbox.sending = False


async def _deliver_batch(runner: Runner, host: str, batch: tuple[Message, ...]) -> None:
    address = members.address_of(runner.state, host)
    verdict = Verdict.NOT_RUN
    if address:
        envelope = Envelope(sender=runner.owner, zone=runner.cfg.zone, messages=batch)
        failure = await runner.ports.peer.send(address, envelope)
        if not isinstance(failure, Failure):
            return
        verdict = failure.verdict
    for message in batch:
        runner.post(PeerFailed(at=runner.now(), host=host, message=message, verdict=verdict))
