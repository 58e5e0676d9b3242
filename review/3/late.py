"""SIGTERM: a stream that the stopping host accepts 3.5 s later is cut off."""

import asyncio
import signal

from review.lab import STREAM_HEADERS, Client, Lab

RUNNING_PIECES = 60  # Events of a stream that runs when SIGTERM comes, one in 0.1 s.
LATE_PIECES = 50  # Events of the streams that are sent later.
HINT = "240"  # Tokens that their clients expect, of the 600 that come.
KEPT = 3
BEFORE_S = 1.0
AFTER_S = 3.5  # After SIGTERM; of what was sent up to 3 s after it the rule excuses some.


async def cuts_late_streams(lab: Lab) -> bool:
    """Stop a host, and send it streams later; returns whether it passed some on and cut them."""
    await lab.usual(hosts=1)
    host = lab.hosts[0]
    for one in lab.engines.values():
        one.pieces = lambda req: RUNNING_PIECES if "running" in req.target else LATE_PIECES
    kept = [Client(lab, host.callers) for _ in range(KEPT)]
    for client in kept:
        await client.connect()
        name = client.send("/roster-read/x", method="GET", deadline_ms=1500)
        if not (await client.answer(name)).is_complete:
            raise RuntimeError("the host serves nothing")
    running = asyncio.create_task(lab.call(host, "/guide-draft/running", **STREAM_HEADERS))
    await asyncio.sleep(BEFORE_S)
    if lab.trouble:
        host.signal(signal.SIGTERM)
    await asyncio.sleep(AFTER_S)
    names = [
        client.send("/guide-draft/late", **STREAM_HEADERS, X_Wasabiwick_Length_Hint=HINT)
        for client in kept
    ]
    answers = await asyncio.gather(
        *(client.answer(name) for client, name in zip(kept, names, strict=True))
    )
    await running
    started = {req.id for engine in lab.engines.values() for req in engine.runs}
    cut = [
        name
        for name, answer in zip(names, answers, strict=True)
        if name in started and not answer.is_complete
    ]
    lab.record.note(f"{len(cut)} of {KEPT} late streams were passed on and cut off")
    return bool(cut)
