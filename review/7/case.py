"""Streams are joined from two versions after the store was restored and hosts restarted."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lab2 import OPERATOR, Engine, Lab, StreamCall, config, run  # noqa: E402

STREAMS = 36
PARTS = os.environ.get("PARTS", "restore kill").split()  # One of them alone is a control.


async def main() -> int:
    """Play the case; returns 1 if ORDER is broken."""
    async with Lab(pathlib.Path(__file__).parent) as lab:
        await lab.store.put(OPERATOR, "config", config())
        for name, stage in (
            ("p1", "prefill"),
            ("p2", "prefill"),
            ("d1", "decode"),
            ("d2", "decode"),
        ):
            await lab.add_engine(Engine(name, stage))
        for name in ("s1", "s2"):
            await lab.add_engine(Engine(name, ""))
        for number in range(3):
            await lab.add_host(f"edge-{number}", f"zone-{'abc'[number]}")
        await lab.all_ready()
        await asyncio.sleep(2.0)
        lab.store.copy()
        lab.note("the store is copied")
        await asyncio.sleep(0.5)
        # A release is under way: the new engines come before the old ones leave.
        for name in ("d3", "d4"):
            await lab.add_engine(Engine(name, "decode", version="2"))
        for engine in lab.engines.values():
            engine.events, engine.pace = 60, 0.12
        await asyncio.sleep(1.5)
        calls = [StreamCall(number) for number in range(STREAMS)]
        tasks = []
        for call in calls:
            first = call.number % len(lab.hosts)
            tasks.append(
                asyncio.create_task(lab.stream(call, lab.hosts[first:] + lab.hosts[:first]))
            )
            await asyncio.sleep(0.03)
        await asyncio.sleep(0.7)
        began = [call.versions[0] for call in calls if call.versions]
        lab.note(f"begun: {began.count('1')} at version 1, {began.count('2')} at version 2")
        if lab.trouble:
            if "restore" in PARTS:
                lab.store_goes_away()
            if "kill" in PARTS:
                await asyncio.gather(*(host.kill() for host in lab.hosts))
                lab.note("all hosts are killed")
            await asyncio.sleep(0.8)
            if "restore" in PARTS:
                await lab.store_comes_back()
            if "kill" in PARTS:
                for host in lab.hosts:
                    await host.start()
        await asyncio.gather(*tasks)
        lab.note_calls(calls)
        joined = [call for call in calls if len(call.versions) > 1]
        resumed = [call for call in calls if len(call.trail) > 1 and call.ended]
        lab.note(f"{len(resumed)} streams went on at another attempt, {len(joined)} are joined")
        lab.note("ORDER is broken" if len(joined) > 2 else "ORDER holds")
        return int(len(joined) > 2)


run(main)
