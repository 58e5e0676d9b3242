"""All hosts are killed while a release goes on: streams are joined from two software versions."""

import asyncio
import signal

from review.lab import STREAM_HEADERS, Answer, Client, Host, Lab, main

STREAMS = 9  # Streams under way, three at each host.
PIECES = 60  # Events of each, one in 0.1 s.
BEFORE_KILL_S = 1.5
DOWN_S = 2.5  # The page of the day `rejoined` names 2.6.
PATIENCE_S = 4.0  # Clients abandon a stream after a gap of four times the latency objective.
RETRIES = 3  # As on the day `rejoined`.
RETRY_PAUSE_S = 0.7
DEADLINE_S = 14.0
ALLOWED = 2  # ORDER: more than two such streams break the rule.


async def read_stream(lab: Lab, hosts: list[Host], number: int) -> list[str]:
    """Read a stream to its end; returns the software versions of its events, in order.

    Where it breaks off it is taken up at another host, on a new connection.
    """
    began = lab.record.now()
    events: dict[int, str] = {}
    first = ""
    resumed: dict[str, str] = {}
    for attempt in range(1 + RETRIES):
        host = hosts[(number + attempt) % len(hosts)]
        client = Client(lab, host.callers)
        answer = Answer()
        try:
            await client.connect()
            left = began + DEADLINE_S - lab.record.now()
            name = client.send(
                "/passage-summary/x", deadline_ms=int(left * 1000), **STREAM_HEADERS, **resumed
            )
            answer = await client.answer(name, seconds=left)
            if answer.status == 200 and answer.events and not first:
                first = name
        except (OSError, TimeoutError):
            lab.record.note(f"stream {number}: no connection to {host.name}")
        finally:
            client.close()
        for event, data in answer.events:
            if event in events:
                lab.record.note(f"stream {number}: event {event} came twice")
            events[event] = data.split(" ")[0]
        if answer.status == 200 and answer.is_complete:
            break
        if events:
            resumed = {"Last_Event_Id": str(max(events)), "Resumes": first}
        # After a loss of power nothing shows but the gap; a refused connection shows at once.
        await asyncio.sleep(PATIENCE_S if answer.events else RETRY_PAUSE_S)
    versions = [events[event] for event in sorted(events)]
    runs = [one for at, one in enumerate(versions) if not at or versions[at - 1] != one]
    lab.record.note(f"stream {number}: {len(events)} events, from {' then '.join(runs) or 'none'}")
    return runs


async def case(lab: Lab) -> bool:
    """Run the case."""
    await lab.usual(hosts=3)
    old = [lab.engines[name] for name in ("i-p1", "i-d1", "i-d2")]
    for one in old:
        one.pieces = lambda req: PIECES
    reading = [
        asyncio.create_task(read_stream(lab, lab.hosts, number)) for number in range(STREAMS)
    ]
    await asyncio.sleep(BEFORE_KILL_S)
    if lab.trouble:
        for host in lab.hosts:
            host.signal(signal.SIGKILL)
            await host.end()
    # A release: the new engines start first, then the old ones drain and leave.
    for name, stage in (("i-p9", "prefill"), ("i-d8", "decode"), ("i-d9", "decode")):
        engine = await lab.engine(name, stage, "v2")
        engine.pieces = lambda req: PIECES
    leaving = [asyncio.create_task(one.leave()) for one in old]
    await asyncio.sleep(DOWN_S)
    if lab.trouble:
        for host in lab.hosts:
            await host.start()
        lab.record.note("the hosts start again")
    await asyncio.gather(*leaving)
    found = await asyncio.gather(*reading)
    joined = sum(len(runs) > 1 for runs in found)
    lab.record.note(f"{joined} of {STREAMS} streams hold events of two versions")
    return joined > ALLOWED


main(__file__, case)
