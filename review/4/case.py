"""Two hosts lose the store: the other hosts of their zone stay at an old configuration."""

import asyncio

from review.lab import APP, Engine, Host, Lab, configuration, main

HOSTS = 6  # Of one zone; the brief names 6 to 8 small hosts.
CUT = 2  # A third of them; any number may be lost at once.
CUT_S = 5.5  # As `core_cut` lasts on the site.
SETTLE_S = 4.0
WATCH_S = 4.0
LAG_S = 0.3  # Between the cut and the change of the configuration.
APPLY_S = 2.0  # `config-apply-ms`
CONTACT_S = 3.0  # `contact-ms`
NEW_APP = "nuvo33c"


async def find_readers(lab: Lab) -> list[Host]:
    """Return the hosts whose machines send most calls to the store, as its operator sees it."""
    for host in lab.hosts:
        host.path.reads = 0
    await asyncio.sleep(WATCH_S)
    for host in lab.hosts:
        lab.record.note(f"{host.name} sent {host.path.reads} reads in {WATCH_S} s")
    return sorted(lab.hosts, key=lambda host: -host.path.reads)[:CUT]


async def send_joins(lab: Lab, host: Host, until: float) -> list[tuple[float, str]]:
    """Send sign-ups one after the other; returns when each was sent, and its identifier."""
    sent = []
    while lab.record.now() < until:
        at = lab.record.now()
        answer = await lab.call(host, "/group-join/x", deadline_ms=1500)
        if answer.status == 200:
            sent.append((at, answer.body.decode().split()[-1]))
        await asyncio.sleep(0.1)
    return sent


async def beat(lab: Lab) -> None:
    """Let the engines write their entries, as they do at each heartbeat."""
    while True:
        await asyncio.sleep(1.2)
        for engine in list(lab.engines.values()):
            await engine.enter("ready", note=False)


async def case(lab: Lab) -> bool:
    """Run the case."""
    await lab.usual(hosts=HOSTS, zones="a")
    for name in ("i-n1", "i-n2"):
        lab.engines[name] = Engine(lab, name, service=NEW_APP)
        await lab.engines[name].start()
    beating = asyncio.create_task(beat(lab))
    await asyncio.sleep(SETTLE_S)
    readers = await find_readers(lab)
    await asyncio.sleep(CONTACT_S)
    if lab.trouble:
        for host in readers:
            host.path.cut()
            lab.record.note(f"{host.name} is partitioned from the store")
    await asyncio.sleep(LAG_S)
    changed = configuration()
    changed["version"] = 8
    for one in changed["routes"]:
        if one["name"] == "group-join":
            one["service"] = NEW_APP
    changed["services"].append({"name": NEW_APP, "health-path": "/healthz", "max-connections": 96})
    await lab.configure(changed)
    acknowledged = lab.record.now()
    lab.record.note("the store has acknowledged version 8: group-join goes to " + NEW_APP)
    until = acknowledged + CUT_S - LAG_S
    found = await asyncio.gather(*(send_joins(lab, host, until) for host in lab.hosts))
    for host in readers:
        host.path.heal()
    beating.cancel()
    ran = {req.id: engine for engine in lab.engines.values() for req in engine.runs}
    late_runs = 0
    for host, sent in zip(lab.hosts, found, strict=True):
        old = [at - acknowledged for at, name in sent if ran[name].service == APP]
        late = sum(at > APPLY_S for at in old)
        # The hosts that are cut off are not in touch, so the rule says nothing of them.
        is_in_touch = host not in readers
        late_runs += late if is_in_touch else 0
        lab.record.note(
            f"{host.name} ({'in touch' if is_in_touch else 'cut off'}): {len(sent)} sign-ups, "
            f"{late} of them sent later than {APPLY_S} s and run by the old service; the last "
            f"after {max(old, default=0):.3f} s"
        )
    return late_runs > 0


main(__file__, case)
