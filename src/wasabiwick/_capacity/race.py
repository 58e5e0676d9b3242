"""``python -m wasabiwick._capacity.race``: racing operators before real host processes.

Operators publish against each other while answers of the log get lost, the log goes down, and
hosts are killed and born. The log lines of the hosts then show which versions each had in force,
and when.
"""

import argparse
import asyncio
import datetime
import pathlib
import random
import signal
import statistics
import tempfile
import time
import typing

import aiohttp
import msgspec
import yaml

from .. import _configuration, _publish
from .._adapters import HttpLogService
from .._demo._processes import Process, Processes
from .._publish import Publication
from .._settings import Timing
from .._wire import HostEntry
from . import fleet

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
OPERATORS = ("ana", "berta", "carlos", "duarte")
CUSTOMERS = 200
LOST_SHARE = 0.2
OUTAGE = 10.0  # Seconds.
OUTAGES_AT = (12.0, 34.0, 56.0)  # Seconds after the start of the race.
GONG = 1.0  # Seconds between the moments at which operators publish together.
KILL_EVERY = 5.0  # Seconds.
SETTLE = 8.0  # Seconds after the last publication.
STARTING = 3  # Host processes that start at once.
TARGET = 12.0  # Seconds.


class Life:
    """One run of a host's process, and when it could be expected to follow."""

    __slots__ = ("host", "process", "since", "until")

    def __init__(self, *, host: str, process: Process, since: float) -> None:
        self.host = host
        self.process = process
        self.since = since
        self.until = float("inf")


class Outcome(msgspec.Struct):
    """What the race showed; times are in seconds."""

    hosts: int
    lives: int
    publications: int
    accepted: int
    lost: int
    unknown: int
    appends: int
    lost_answers: int
    versions: int
    final_versions: list[int]
    steps_back: int
    digests_that_differ: int
    told_but_not_in_force: list[int]
    host_p50: float
    host_worst: float
    version_p50: float
    version_worst: float
    versions_over_target: int


class Race:
    """The processes of one race.

    Args:
        hosts: Number of hosts at any time.
        publications: Publications of all operators together.
        seed: Seed of the operators and faults.
        folder: Where settings and logs go.
        outages: Seconds after the start at which the log goes down.
        settle: Seconds after the last publication.
    """

    def __init__(
        self,
        *,
        hosts: int,
        publications: int,
        seed: int,
        folder: pathlib.Path,
        outages: typing.Sequence[float] = OUTAGES_AT,
        settle: float = SETTLE,
    ) -> None:
        self.settle = settle
        self.outages = outages
        self.hosts = hosts
        self.publications = publications
        self.rng = random.Random(seed)
        self.folder = folder
        self.processes = Processes(folder=folder)
        self.lives: list[Life] = []
        self.gong = asyncio.Event()
        self.results: list[_publish.Result] = []
        self.lost_answers = 0
        self.log: Process | None = None
        self.host_list: Process | None = None
        self.session: aiohttp.ClientSession | None = None
        self.publishing = True

    async def run(self) -> Outcome:
        """Start everything, race, and judge."""
        async with aiohttp.ClientSession() as self.session:
            try:
                await self._start()
                await self._race()
                return await self._judge()
            finally:
                await self.processes.close()

    async def _start(self) -> None:
        self.log = await self.processes.start("log", "standin", "log-service")
        self.host_list = await self.processes.start("hosts", "standin", "host-list")
        await self._publish_first()
        gate = asyncio.Semaphore(STARTING)
        await asyncio.gather(*(self._boot(gate, number) for number in range(self.hosts)))
        await self._list()
        await asyncio.sleep(2.0)

    async def _boot(self, gate: asyncio.Semaphore, number: int) -> None:
        name = fleet.host(number)
        settings = {
            "host": name,
            "zone": ZONES[number % len(ZONES)],
            "region": "region-1",
            "platform": {"log": self.log.address, "hosts": self.host_list.address},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        run = sum(1 for life in self.lives if life.host == name)
        async with gate:
            process = await self.processes.start(f"{name}.{run}", "run", "--settings", str(path))
        self.lives.append(Life(host=name, process=process, since=time.time()))

    async def _list(self) -> None:
        entries = [
            HostEntry(
                name=life.host,
                kind="entry",
                zone=ZONES[int(life.host[-3:]) % len(ZONES)],
                address=life.process.fields["peers"],
            )
            for life in self.lives
            if life.until == float("inf")
        ]
        await self._control(self.host_list, hosts=msgspec.to_builtins(entries))

    async def _control(self, process: Process, **knobs: object) -> None:
        async with self.session.post(f"{process.address}/control", json=knobs) as resp:
            resp.raise_for_status()

    # --- The race --------------------------------------------------------------------------------

    async def _race(self) -> None:
        faults = [
            asyncio.create_task(one) for one in (self._outages(), self._deaths(), self._ring())
        ]
        each = self.publications // len(OPERATORS)
        await asyncio.gather(*(self._operate(name, each) for name in OPERATORS))
        self.publishing = False
        await asyncio.gather(*faults)
        await asyncio.sleep(self.settle)

    async def _ring(self) -> None:
        while self.publishing:
            await asyncio.sleep(GONG)
            self.gong.set()
            self.gong.clear()

    async def _outages(self) -> None:
        begin = time.monotonic()
        for at in self.outages:
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            await self._control(self.log, outage=True)
            await asyncio.sleep(OUTAGE)
            await self._control(self.log, outage=False)

    async def _deaths(self) -> None:
        gate = asyncio.Semaphore(1)
        while self.publishing:
            await asyncio.sleep(KILL_EVERY)
            running = [life for life in self.lives if life.until == float("inf")]
            life = self.rng.choice(running)
            life.until = time.time()
            life.process.send(signal.SIGKILL)
            await self._list()
            await asyncio.sleep(1.0)
            await self._boot(gate, int(life.host[-3:]))
            await self._list()

    async def _publish_first(self) -> None:
        result = await self._publish("first", fleet.entries_of(CUSTOMERS))
        if result.outcome != _publish.IN_FORCE:
            raise RuntimeError(f"the first version was not accepted: {result.outcome}")

    async def _operate(self, name: str, count: int) -> None:
        done = 0
        while done < count:
            if self.rng.random() < 0.5:
                await self.gong.wait()
            else:
                await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            try:
                self.results.append(await self._publish(name))
            except _publish.LogUnavailableError:
                await asyncio.sleep(0.2)
                continue
            done += 1

    async def _publish(
        self, name: str, entries: _configuration.Entries | None = None
    ) -> _publish.Result:
        log = HttpLogService(session=self.session, address=self.log.address, timing=Timing())
        history = await _publish.read_history(log, {})
        if entries is None:
            changed = f"customer-{self.rng.randrange(CUSTOMERS):05d}"
            key = f"{self.rng.getrandbits(256):064x}"
            fields = {"plan": f"plan-{self.rng.randrange(10)}", "keys": [key]}
            content = history.content.with_changes({"customers": {changed: fields}}, ())
        else:
            content = _configuration.content_of(entries)
        if self.rng.random() < LOST_SHARE and entries is None:
            self.lost_answers += 1
            await self._control(self.log, lose_replies=1)
        return await Publication(log=log, history=history, content=content, author=name).run()

    # --- The judgement ---------------------------------------------------------------------------

    async def _judge(self) -> Outcome:
        log = HttpLogService(session=self.session, address=self.log.address, timing=Timing())
        accepted = await _accepted(log)
        seen = [(life, _versions_of(life.process.log)) for life in self.lives]
        alive = [versions for life, versions in seen if life.until == float("inf")]
        delays = _delays(seen, accepted)
        told = [one.version for one in self.results if one.outcome == _publish.IN_FORCE]
        by_host = sorted(delay for found in delays.values() for delay in found)
        by_version = sorted(max(found) for found in delays.values() if found)
        return Outcome(
            hosts=self.hosts,
            lives=len(self.lives),
            publications=len(self.results),
            accepted=len(told),
            lost=sum(1 for one in self.results if one.outcome == _publish.LOST),
            unknown=sum(1 for one in self.results if one.outcome == _publish.UNKNOWN),
            appends=sum(one.appends for one in self.results),
            lost_answers=self.lost_answers,
            versions=max(accepted),
            final_versions=sorted({versions[-1][1] if versions else 0 for versions in alive}),
            steps_back=sum(_steps_back(versions) for _, versions in seen),
            digests_that_differ=_differing(seen),
            told_but_not_in_force=sorted(set(told) - set(accepted)),
            host_p50=round(statistics.median(by_host), 3),
            host_worst=round(by_host[-1], 3),
            version_p50=round(statistics.median(by_version), 3),
            version_worst=round(by_version[-1], 3),
            versions_over_target=sum(1 for delay in by_version if delay > TARGET),
        )


async def _accepted(log: HttpLogService) -> dict[int, float]:
    """Return when the log took the record of each version that took effect, Unix seconds."""
    history = _configuration.History({})
    accepted: dict[int, float] = {}
    while True:
        page = await log.read(_publish.STREAM, history.next_offset, 0)
        for record in page.records:
            before = history.version
            history.read([record], first=page.first)
            if history.version > before:
                accepted[history.version] = record.time
        if not page.records:
            return accepted


Versions = list[tuple[float, int, str]]


def _versions_of(path: pathlib.Path) -> Versions:
    """Return the time, version and digest of each change that a host logged."""
    found = []
    for line in path.read_text().splitlines():
        if "event=configuration_in_force" in line:
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            when = datetime.datetime.fromisoformat(fields["ts"]).timestamp()
            found.append((when, int(fields["version"]), fields["digest"]))
    return found


def _steps_back(versions: Versions) -> int:
    pairs = zip(versions, versions[1:], strict=False)
    return sum(1 for before, after in pairs if after[1] <= before[1])


def _differing(seen: list[tuple[Life, Versions]]) -> int:
    digests: dict[int, set[str]] = {}
    for _, versions in seen:
        for _, version, digest in versions:
            digests.setdefault(version, set()).add(digest)
    return sum(1 for found in digests.values() if len(found) > 1)


def _delays(
    seen: list[tuple[Life, Versions]], accepted: dict[int, float]
) -> dict[int, list[float]]:
    """Return, for each version, how long each host that was alive took to have it in force."""
    delays: dict[int, list[float]] = {version: [] for version in accepted}
    for life, versions in seen:
        for version, when in accepted.items():
            if when < life.since:
                continue
            reached = next((at for at, found, _ in versions if found >= version), None)
            if reached is not None:
                delays[version].append(max(0.0, reached - when))
            elif life.until == float("inf"):
                delays[version].append(float("inf"))
    return delays


def main() -> None:
    """Run one race and print what it showed."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--hosts", type=int, default=24)
    parser.add_argument("--publications", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        race = Race(
            hosts=args.hosts,
            publications=args.publications,
            seed=args.seed,
            folder=pathlib.Path(folder),
        )
        found = asyncio.run(race.run())
    if args.json:
        print(msgspec.json.encode(found).decode())
        return
    for name, value in msgspec.to_builtins(found).items():
        print(f"{name:22} {value}")


if __name__ == "__main__":
    main()
