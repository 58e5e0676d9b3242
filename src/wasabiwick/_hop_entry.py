"""HTTP server for requests that other hosts pass to this one.

Its listener is apart from that of callers, and a request has to name the key that this host wrote
to the register of hosts, which no caller can read.
"""

import hmac
import itertools

import msgspec
from aiohttp import web

from ._adapters._hops import KEY_HEADER, PATH
from ._body_memory import BodyMemory
from ._errors import HOST_FULL, Failure
from ._events import CallPassedOn
from ._forward_entry import ForwardCall, answer_call
from ._handlers import forwarding
from ._hops_codec import (
    MAX_HEAD_BYTES,
    AnswerHead,
    RequestHead,
    decode_request,
    encode_head,
    failure_head,
)
from ._keepalive import detect_dead_peer
from ._logging import log_event
from ._ports import Dialect, Exchange
from ._runner import Runner
from ._unread import UnreadAnswers
from ._verdict import Verdict


class PassedCall(ForwardCall):
    """A call that another host passed to this one; its answer goes to that host.

    Args:
        runner: The host's runner.
        **fields: Arguments of `ForwardCall`.
    """

    __slots__ = ("_runner",)

    def __init__(self, *, runner: Runner, **fields: object) -> None:
        super().__init__(**fields)
        self._runner = runner

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure that this host reports itself."""
        if self._abort_stream(failure.reason.status):
            return
        self._end(web.Response(body=encode_head(failure_head(failure))))

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Answer with an endpoint's complete answer."""
        if self._abort_stream(status):
            return
        head = self._head(status, headers, streams=False)
        self._end(web.Response(body=encode_head(head) + body))

    async def start_stream(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Open the stream to the other host, unless an earlier try has opened it."""
        if self._resp is None:
            self._resp = web.StreamResponse()
            await self._resp.prepare(self._req)
            await self._resp.write(encode_head(self._head(status, headers, streams=True)))

    def _head(
        self, status: int, headers: list[tuple[bytes, bytes]], *, streams: bool
    ) -> AnswerHead:
        req = forwarding.call(self._runner.state, self._ask.call_id)
        build = req.place.build if req is not None and req.place is not None else ""
        return AnswerHead(status=status, headers=headers, streams=streams, build=build)


class HopEntry:
    """HTTP handlers for other hosts.

    Args:
        runner: The host's runner.
        dialect: Reads callers' requests.
        max_body_bytes: Maximum size of a request's body.
        requests: Memory for requests' bodies, each held until its request is answered.
        answers: Memory for answers that are held as a whole.
        unread: Counts what of answers the other hosts have not read.
    """

    __slots__ = (
        "_runner",
        "_dialect",
        "_max_bytes",
        "_requests",
        "_answers",
        "_unread",
        "_numbers",
    )

    def __init__(
        self,
        *,
        runner: Runner,
        dialect: Dialect,
        max_body_bytes: int,
        requests: BodyMemory,
        answers: BodyMemory,
        unread: UnreadAnswers,
    ) -> None:
        self._runner = runner
        self._dialect = dialect
        self._max_bytes = max_body_bytes + MAX_HEAD_BYTES
        self._requests = requests
        self._answers = answers
        self._unread = unread
        self._numbers = itertools.count(1)

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=self._max_bytes)
        app.router.add_post(PATH, self._serve)
        return app

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        if not self._names_key(req):
            log_event("hop_refused", level="WARNING", sender=req.remote)
            return web.Response(status=403)
        sock = req.transport.get_extra_info("socket") if req.transport else None
        if sock is not None:
            # A host that is lost closes nothing, and its callers' work has to end.
            detect_dead_peer(sock)
        with self._requests.share() as share:
            # Other hosts state the length of what they pass.
            if not share.resize(min(req.content_length or self._max_bytes, self._max_bytes)):
                log_event("hop_refused", sender=req.remote, reason=HOST_FULL.code)
                failure = Failure(reason=HOST_FULL, verdict=Verdict.NOT_RUN)
                return web.Response(body=encode_head(failure_head(failure)))
            return await self._serve_passed(req)

    async def _serve_passed(self, req: web.Request) -> web.StreamResponse:
        runner = self._runner
        try:
            head, body = decode_request(await req.read())
        except msgspec.MsgspecError as exc:
            log_event("hop_unreadable", level="WARNING", sender=req.remote, error=str(exc))
            return web.Response(status=400)
        exchange = Exchange(method=head.method, target=head.target, headers=head.headers, body=body)
        exchange.events, exchange.last_event_id = head.events, head.last_event_id
        event = self._arrival(head, exchange)
        call = PassedCall(
            runner=runner,
            req=req,
            ask=event.ask,
            exchange=exchange,
            dialect=self._dialect,
            answers=self._answers,
            unread=self._unread,
        )
        return await answer_call(runner, req, call, event)

    def _names_key(self, req: web.Request) -> bool:
        named = req.headers.get(KEY_HEADER, "").encode("utf-8", "surrogateescape")
        return hmac.compare_digest(named, self._runner.ports.hops.key.encode())

    def _arrival(self, head: RequestHead, exchange: Exchange) -> CallPassedOn:
        runner = self._runner
        now = runner.now()
        call_id = f"{runner.owner.host}.{runner.owner.incarnation}.h{next(self._numbers)}"
        host = next((value for name, value in head.headers if name.lower() == b"host"), b"")
        ask = self._dialect.ask(call_id, host.decode("latin-1"), exchange, now)
        ask.deadline = min(ask.deadline, now + head.left_ms / 1000)
        ask.resumed = ask.resumed or head.events > 0
        # The sender has taken the key out of the headers, unless it is of an earlier build.
        ask.key = head.key or ask.key
        ask.fingerprints = tuple(head.fingerprints) or ask.fingerprints
        return CallPassedOn(at=now, ask=ask, hop=head.hop())
