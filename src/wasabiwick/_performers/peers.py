"""Messages to other entry hosts: batched per host while an earlier batch is on its way."""

from .._effects import SendPeer
from .._errors import Failure
from .._events import PeerFailed
from .._handlers import members
from .._runner import Runner, performs
from .._verdict import Verdict
from .._wire import Envelope, Message


class Mailbox:
    """Messages that wait for one host."""

    __slots__ = ("waiting", "sending")

    def __init__(self) -> None:
        self.waiting: list[Message] = []
        self.sending = False


@performs(SendPeer)
def send(runner: Runner, effect: SendPeer) -> None:
    """Queue a message, and start to send if nothing is on its way to the host."""
    box = runner.mailboxes.setdefault(effect.host, Mailbox())
    box.waiting.append(effect.message)
    if not box.sending:
        box.sending = True
        runner.spawn(f"peer/{effect.host}", _deliver(runner, effect.host, box))


async def _deliver(runner: Runner, host: str, box: Mailbox) -> None:
    try:
        while box.waiting:
            batch = tuple(box.waiting)
            box.waiting.clear()
            await _deliver_batch(runner, host, batch)
    finally:
        box.sending = False


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
