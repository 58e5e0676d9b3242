"""An engine that stops at a given byte of its answer, for tests of answers that are cut off."""

import asyncio
import contextlib
import json
import socket
import struct

from ._raw_server import RawServer

EVENTS = b"".join(b"id: %d\ndata: part %d\n\n" % (number, number) for number in range(1, 4))
BODY = b"a plain body"
SEAL = "3e1b.07.5a2"
HOLD = b'{"hold":"hold-1"}'
PROMPT = b'{"kv-handle":"handle-1","tokens":10,"version":1}'
FAILURE = b"500 Failed"
ATTEMPT = b"ATTEMPT"
ENDLESS_BLOCK_BYTES = 16_384  # Bytes of each write of an answer without an end.
RESET_DELAY_S = 0.002  # Bytes have to arrive before a reset, which would discard them.
FRAMINGS = ("length", "chunks", "close")


def head_fields(head: bytes) -> dict[str, str]:
    """Return a head's fields by name in lower case."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


def encode_answer(fields: list[str], body: bytes, framing: str) -> bytes:
    """Return a whole answer with status 200, framed by a length, by chunks or by its end."""
    framed = body
    if framing == "length":
        fields = [*fields, f"Content-Length: {len(body)}"]
    elif framing == "chunks":
        fields = [*fields, "Transfer-Encoding: chunked"]
        half = len(body) // 2
        pieces = [piece for piece in (body[:half], body[half:]) if piece]
        framed = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in pieces) + b"0\r\n\r\n"
    return "\r\n".join(["HTTP/1.1 200 OK", *fields, "", ""]).encode() + framed


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, which asyncio only closes otherwise."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _end(answer: bytes, cut: int | bytes) -> int:
    return cut if isinstance(cut, int) else answer.index(cut) + len(cut)


class CutEngine(RawServer):
    """An engine, or an endpoint of a plain service if it has no stage.

    It cuts off one kind of its answers: ``plain``, ``stream``, ``prefill`` or ``hold``.

    Attributes:
        framing: How the end of its answers is told, one of `FRAMINGS`.
        cut_kind: Which answers are cut off.
        cuts: Where the next answers of that kind are cut off: behind so many bytes, or behind a
            text of theirs; later ones are whole.
        strays: Bytes that it writes before the next answers of that kind.
        endless: Bytes that it writes in place of answers of that kind, and those that follow them
            without end; `ATTEMPT` stands for the attempt's identifier. None for sound answers.
        endless_bytes: Number of bytes that the last of these brought until they were refused.
        fails: Whether its answers to plain requests are its own failures.
        resets: Whether it resets the connection then, which it closes otherwise.
        is_early: Whether it cuts off before it reads the request's body.
        runs: Attempt identifier and first event of each request that it ran.
        uncut_bytes: Length of the last whole answer.
        was_kept: Whether the last answer that was cut off was not the first on its connection.
    """

    def __init__(self, name: str, stage: str = "") -> None:
        super().__init__()
        self.name = name
        self.stage = stage
        self.framing = "length"
        self.cut_kind = ""
        self.cuts: list[int | bytes] = []
        self.strays: list[bytes] = []
        self.endless: tuple[bytes, bytes] | None = None
        self.endless_bytes = 0
        self.fails = False
        self.resets = False
        self.is_early = False
        self.runs: list[tuple[str, int]] = []
        self.uncut_bytes = 0
        self.was_kept = False

    def entry(self, service: str) -> dict[str, object]:
        """Return its entry in the store's list of servers."""
        stage = {"stage": self.stage} if self.stage else {}
        return {
            "service": service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 12,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1,
            **stage,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request, until an answer is cut off."""
        is_first = True
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = head_fields(head)
                kind, answer = self._answer(head, fields)
                if kind == self.cut_kind and self.endless is not None:
                    beginning, repeated = self.endless
                    attempt = fields.get("x-wasabiwick-attempt-id", "").encode()
                    beginning = beginning.replace(ATTEMPT, attempt)
                    await self._write_endless(writer, beginning, repeated)
                    return
                is_cut = kind == self.cut_kind and bool(self.cuts)
                if not (is_cut and self.is_early):
                    await reader.readexactly(int(fields.get("content-length", 0)))
                if is_cut:
                    self.was_kept = not is_first
                elif kind == self.cut_kind:
                    self.uncut_bytes = len(answer)
                is_first = False
                if kind == self.cut_kind and self.strays:
                    answer = self.strays.pop(0) + answer
                writer.write(answer[: _end(answer, self.cuts.pop(0))] if is_cut else answer)
                await writer.drain()
                if is_cut and self.resets:
                    await asyncio.sleep(RESET_DELAY_S)
                    reset(writer)
                    return
                if is_cut or (self.framing == "close" and kind in ("plain", "stream", "prefill")):
                    writer.close()
                    return

    async def _write_endless(
        self, writer: asyncio.StreamWriter, beginning: bytes, repeated: bytes
    ) -> None:
        block = repeated * (ENDLESS_BLOCK_BYTES // len(repeated))
        writer.write(beginning)
        self.endless_bytes = 0
        while True:
            writer.write(block)
            self.endless_bytes += len(block)
            await writer.drain()
            await asyncio.sleep(0)

    def _answer(self, head: bytes, fields: dict[str, str]) -> tuple[str, bytes]:
        target = head.split(b" ")[1].decode()
        if target.startswith("/v1/hold-take"):
            return "hold", encode_answer([], HOLD, "length")
        if target.startswith("/v1/report"):
            report = {"stage": self.stage, "busy": False, "sequence": 0, "born": 1}
            # A plain request is to come on a new connection behind a report.
            fields = [] if self.stage else ["Connection: close"]
            return "report", encode_answer(fields, json.dumps(report).encode(), "length")
        if target.startswith("/v1/"):
            return "drop", encode_answer([], b"", "length")
        attempt = fields["x-wasabiwick-attempt-id"]
        named = [f"X-Wasabiwick-Attempt-Id: {attempt}"]
        if fields.get("x-wasabiwick-stage") == "prefill":
            return "prefill", encode_answer(named, PROMPT, self.framing)
        first = int(fields.get("last-event-id", 0))
        self.runs.append((attempt, first))
        named.append(f"X-Wasabiwick-Response-Seal: {SEAL}")
        if not self.stage:
            answer = encode_answer(named, BODY, self.framing)
            return "plain", answer.replace(b"200 OK", FAILURE) if self.fails else answer
        events = EVENTS[EVENTS.find(b"id: %d\n" % (first + 1)) :] if first < 3 else b""
        named.append("Content-Type: text/event-stream")
        return "stream", encode_answer(named, events, self.framing)
