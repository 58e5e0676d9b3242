"""One unreadable entry in the list of engines freezes that list at every host."""

import asyncio

from review.lab import SERVERS, Answer, Host, Lab, main

DRAIN_S = 2.0  # `drain-ms`
SERVES_ON_S = 6.0  # After `draining`; "a little longer (at times many seconds)".
CONTACT_S = 3.0
# Bytes that are no entry: 1.2 kB, where a record may have 262 kB.
UNREADABLE = b'{"tags":' + b"[" * 1_200


async def beat(lab: Lab) -> None:
    """Let the engines write their entries, as they do at each heartbeat."""
    while True:
        await asyncio.sleep(1.2)
        for engine in list(lab.engines.values()):
            if engine.state != "gone":
                await engine.enter(engine.state, note=False)


async def send_joins(lab: Lab, host: Host, until: float) -> list[tuple[float, str, Answer]]:
    """Send sign-ups one after the other; returns when each was sent, its name and its answer."""
    sent = []
    while lab.record.now() < until:
        at = lab.record.now()
        answer = await lab.call(host, "/group-join/x", deadline_ms=1500)
        sent.append((at, answer.name, answer))
        await asyncio.sleep(0.05)
    return sent


async def case(lab: Lab) -> bool:
    """Run the case."""
    await lab.usual(hosts=2)
    beating = asyncio.create_task(beat(lab))
    await asyncio.sleep(2.0)
    if lab.trouble:
        await lab.store.put(SERVERS, "inventory", UNREADABLE)
        lab.record.note("another writer has written the entry `inventory`")
    await asyncio.sleep(CONTACT_S)
    old = lab.engines["i-s1"]
    await lab.engine("i-s3")
    await old.enter("draining")
    acknowledged = lab.record.now()
    until = acknowledged + SERVES_ON_S + 1.0
    sending = [asyncio.create_task(send_joins(lab, host, until)) for host in lab.hosts]
    await asyncio.sleep(SERVES_ON_S)
    await lab.store.put(SERVERS, old.name, None)
    old.state = "gone"
    await old.end()
    lab.record.note(f"{old.name} has left")
    found = [one for sent in await asyncio.gather(*sending) for one in sent]
    beating.cancel()
    at_old = {req.id for req in old.runs}
    late = [name for at, name, _ in found if name in at_old and at > acknowledged + DRAIN_S]
    cut = [name for _, name, answer in found if name in at_old and answer.status != 200]
    new = sum(name in {req.id for req in lab.engines["i-s3"].runs} for _, name, _ in found)
    lab.record.note(
        f"of {len(found)} sign-ups {len(late)} were sent later than {DRAIN_S} s after the "
        f"acknowledgement and run by {old.name}; {len(cut)} had run there and got no success; "
        f"{new} were run by i-s3"
    )
    # What follows is noted only: what a host serves that starts while the entry is there.
    host = lab.hosts[0]
    await host.end()
    await host.start()
    await host.wait_until_ready()
    await asyncio.sleep(3.0)
    again = [await lab.call(host, "/group-join/again", deadline_ms=1500) for _ in range(5)]
    lab.record.note(f"after a restart {host.name} answers {[one.status for one in again]}")
    return len(late) > 0


main(__file__, case)
