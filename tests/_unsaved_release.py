"""A release that comes and goes while hosts can save nowhere that they use it."""

from wasabiwick._effects_forwarding import Forward
from wasabiwick._events import ForwardLeft
from wasabiwick._forwarding import Endpoint, Listing, SavedBuilds
from wasabiwick._handlers import builds

from ._forward import DECODE, EPOCH, MODEL, PREFILL, Host, engine

OLD, NEW = "v1", "v1.1"
STREAMS = 40
SAVED_AT, DARK_S = 100.0, 6.0  # When hosts saved last, and until they have started again.
# The engines of the old build start shortly before that, those of the new one shortly after.
EARLIER = {"build": OLD, "born": int((EPOCH + SAVED_AT - 1.0) * 1000)}
LATER = {"build": NEW, "born": int((EPOCH + SAVED_AT + 0.5) * 1000)}
BEFORE = (
    engine("p0", PREFILL, **EARLIER),
    engine("d0", DECODE, **EARLIER),
    engine("d1", DECODE, **EARLIER),
)
COME = (engine("d2", DECODE, **LATER), engine("d3", DECODE, **LATER))


class UnsavedRelease:
    """Streams that began at hosts before they were lost.

    Attributes:
        began: Build of each stream, by its name.
        stored: What the hosts had saved when they were lost.
        history: Entries of the list of endpoints until then.
    """

    def __init__(self) -> None:
        self.began: dict[str, str] = {}
        host = Host(endpoints=BEFORE)
        listed_upto = host.state["builds"].listed_upto
        saved = {"age": DARK_S, "lost": {}, "listed_upto": listed_upto, "era": 0}
        self.stored = {
            name: SavedBuilds(begun={MODEL: (OLD,)}, **saved) for name in ("a", "b", "c")
        }
        self.history = tuple(
            Listing(name=one.name, offset=offset, endpoint=one)
            for offset, one in enumerate((*BEFORE, *COME), 1)
        ) + tuple(
            Listing(name=one.name, offset=offset, endpoint=None)
            for offset, one in enumerate(COME, 1 + len(BEFORE) + len(COME))
        )
        host.store_answers = False
        host.read_list(*COME)
        host.run(builds.SAVE_PATIENCE_S)
        self.begin(host)

    def begin(self, host: Host) -> None:
        """Let streams begin at a host."""
        for number in range(len(self.began), STREAMS):
            call = host.ask("stream", trace_id=f"t{number}")
            host.answer_hold(call)
            host.answer_prefill(call)
            host.answer(call, streams=True)
            endpoint = host.last_effect(Forward, call).endpoint
            self.began[f"t{number}"] = NEW if endpoint in ("d2", "d3") else OLD
            host.feed(ForwardLeft, call_id=call)

    def restart(
        self,
        *,
        name: str = "a",
        listed: tuple[Endpoint, ...] = BEFORE,
        stored: dict[str, SavedBuilds] | None = None,
        history: tuple[Listing, ...] | None = None,
        can_save: bool = True,
    ) -> Host:
        """Return a host that has started after the release was taken back."""
        return Host(
            name=name,
            at=SAVED_AT + DARK_S,
            endpoints=listed,
            stored=dict(self.stored if stored is None else stored),
            history=self.history if history is None else history,
            offset=len(self.history),
            usual_part_is_up=can_save,
            spare_part_is_up=can_save,
        )

    def resumes(self, host: Host, stream: str) -> str:
        """Return the build at which a host lets a stream go on, or an empty string."""
        call = host.ask("stream", resumed=True, resumes=stream)
        if host.refusal(call) is not None:
            return ""
        host.answer_hold(call)
        host.answer_prefill(call)
        sent = host.effects_of(Forward, call)
        host.feed(ForwardLeft, call_id=call)
        return NEW if sent[-1].endpoint in ("d2", "d3") else OLD

    def joined(self, host: Host) -> list[str]:
        """Return the streams that a host lets go on at another build than the one they began at."""
        return [
            name
            for name, build in self.began.items()
            if self.resumes(host, name) not in ("", build)
        ]
