"""Calls an engine directly, to compare latencies with and without the router."""

import itertools
import secrets

import aiohttp
import msgspec

from .._standins._output import expected_output
from .._wire import DecodeAsk, Frame, PrefillAnswer, PrefillAsk
from ._caller import Ask, OutputTimer
from ._measure import Tally

OWNER = "load/1"
RUN_ID_BYTES = 6


class DirectCaller:
    """Calls engines in turn: a prefill, then a decode on the same engine.

    Args:
        session: Client session.
        engines: Base URLs of the engines.
        tally: Collects counts and latencies.
    """

    __slots__ = ("_session", "_engines", "_tally", "_run_id", "_attempt_numbers", "_decoder")

    def __init__(
        self, *, session: aiohttp.ClientSession, engines: tuple[str, ...], tally: Tally
    ) -> None:
        self._session = session
        self._engines = itertools.cycle(engines)
        self._tally = tally
        # Engines remember the attempts of an earlier run for a while, so each run has its own ids.
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._attempt_numbers = itertools.count(1)
        self._decoder = msgspec.json.Decoder(Frame)

    async def generate(self, ask: Ask) -> None:
        """Call an engine once, without retries; a failed call counts as lost."""
        tally = self._tally
        tally.calls += 1
        tally.attempts += 1
        engine = next(self._engines)
        timer = OutputTimer(tally)
        prompt = ask.body().text()
        try:
            text = await self._exchange(engine, prompt, ask, timer)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            tally.refusals[type(exc).__name__] += 1
            return
        tally.answered += 1
        tally.wrong += text != expected_output(prompt, ask.max_tokens)

    async def _exchange(self, engine: str, prompt: str, ask: Ask, timer: OutputTimer) -> str:
        attempt = f"load.{self._run_id}.{next(self._attempt_numbers)}"
        prefill = PrefillAsk(
            request_id=attempt, attempt_id=attempt, owner=OWNER, model=ask.model, prompt=prompt
        )
        async with self._post(engine, "/v1/prefill", prefill) as resp:
            resp.raise_for_status()
            done = msgspec.json.decode(await resp.read(), type=PrefillAnswer)
        decode = DecodeAsk(
            request_id=attempt,
            attempt_id=attempt,
            owner=OWNER,
            model=ask.model,
            source=engine,
            handle=done.handle,
            max_tokens=ask.max_tokens,
        )
        async with self._post(engine, "/v1/decode", decode) as resp:
            resp.raise_for_status()
            return await self._read(resp, timer)

    def _post(self, engine: str, path: str, body: msgspec.Struct) -> object:
        return self._session.post(engine + path, data=msgspec.json.encode(body))

    async def _read(self, resp: aiohttp.ClientResponse, timer: OutputTimer) -> str:
        rest = b""
        texts = []
        while chunk := await resp.content.readany():
            *lines, rest = (rest + chunk).split(b"\n")
            text = "".join(self._decoder.decode(line).text for line in lines)
            if text:
                timer.record_output(text)
                texts.append(text)
        return "".join(texts)
