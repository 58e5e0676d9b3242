"""``python -m wasabiwick._capacity.race``: concurrent publications to real host processes.

Operators publish configurations concurrently while answers of the log service are lost, the service
has outages, and hosts are killed and restarted. The hosts' own log lines then show which versions
each host had in force, and when.
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
CUSTOMER_COUNT = 200
LOST_ANSWER_SHARE = 0.2  # Share of publications whose append takes effect but is not answered.
OUTAGE_S = 10.0  # Duration of each outage of the log service.
OUTAGE_STARTS_S = (12.0, 34.0, 56.0)  # Starts of the log service's outages, after the race's start.
SYNC_INTERVAL_S = 1.0  # Time between the moments at which all waiting operators publish together.
KILL_INTERVAL_S = 5.0  # Time between a host's restart and the kill of the next host.
SETTLE_S = 8.0  # Time for hosts to apply the last version after its publication.
CONCURRENT_STARTS = 3  # At most this many host processes start at the same time.
IN_FORCE_TARGET_S = 12.0  # Longest time until an appended version is in force at a host.


class HostRun:
    """One process of a host, and the Unix times between which it must apply new versions."""

    __slots__ = ("host", "process", "since", "until")

    def __init__(self, *, host: str, process: Process, since: float) -> None:
        self.host = host
        self.process = process
        self.since = since
        self.until = float("inf")


class Outcome(msgspec.Struct):
    """Results of the race; times are in seconds.

    ``lives`` counts host processes, including restarted ones. ``lost`` counts publications
    that failed because another one took effect first, and ``unknown`` those whose operator could
    not find out whether they took effect. ``steps_back`` counts logged versions that are not newer
    than the version before, and ``digests_that_differ`` versions that hosts logged with different
    digests.
    ``told_but_not_in_force`` lists versions that an operator was told are in force but never were.
    ``host_p50`` and ``host_worst`` are the median and maximum of all delays until a version was in
    force at one host, ``version_p50`` and ``version_worst`` those of each version's longest delay.
    """

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
    """One race of operators, with the processes that it starts.

    Args:
        hosts: Number of hosts.
        publications: Number of publications of all operators together.
        seed: Seed of the operators and faults.
        folder: Directory for settings and logs.
        outages: Starts of the log service's outages, in seconds after the race's start.
        settle: Seconds for hosts to apply the last version after its publication.
    """

    def __init__(
        self,
        *,
        hosts: int,
        publications: int,
        seed: int,
        folder: pathlib.Path,
        outages: typing.Sequence[float] = OUTAGE_STARTS_S,
        settle: float = SETTLE_S,
    ) -> None:
        self.settle = settle
        self.outages = outages
        self.hosts = hosts
        self.publications = publications
        self.rng = random.Random(seed)
        self.folder = folder
        self.processes = Processes(folder=folder)
        self.host_runs: list[HostRun] = []
        self.sync_point = asyncio.Event()
        self.results: list[_publish.Result] = []
        self.lost_answers = 0
        self.log: Process | None = None
        self.host_list: Process | None = None
        self.session: aiohttp.ClientSession | None = None
        self.publishing = True

    async def run(self) -> Outcome:
        """Start all processes, run the race, and return its results."""
        async with aiohttp.ClientSession() as self.session:
            try:
                await self._start()
                await self._run_race()
                return await self._evaluate()
            finally:
                await self.processes.close()

    async def _start(self) -> None:
        self.log = await self.processes.start("log", "standin", "log-service")
        self.host_list = await self.processes.start("hosts", "standin", "host-list")
        await self._publish_first()
        start_limit = asyncio.Semaphore(CONCURRENT_STARTS)
        await asyncio.gather(*(self._boot(start_limit, number) for number in range(self.hosts)))
        await self._update_host_list()
        await asyncio.sleep(2.0)

    async def _boot(self, start_limit: asyncio.Semaphore, number: int) -> None:
        name = fleet.host_name(number)
        settings = {
            "host": name,
            "zone": ZONES[number % len(ZONES)],
            "region": "region-1",
            "platform": {"log": self.log.address, "hosts": self.host_list.address},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        run_number = sum(1 for host_run in self.host_runs if host_run.host == name)
        async with start_limit:
            process = await self.processes.start(
                f"{name}.{run_number}", "run", "--settings", str(path)
            )
        self.host_runs.append(HostRun(host=name, process=process, since=time.time()))

    async def _update_host_list(self) -> None:
        entries = [
            HostEntry(
                name=host_run.host,
                kind="entry",
                zone=ZONES[int(host_run.host[-3:]) % len(ZONES)],
                address=host_run.process.fields["peers"],
            )
            for host_run in self.host_runs
            if host_run.until == float("inf")
        ]
        await self._configure_standin(self.host_list, hosts=msgspec.to_builtins(entries))

    async def _configure_standin(self, process: Process, **settings: object) -> None:
        async with self.session.post(f"{process.address}/control", json=settings) as resp:
            resp.raise_for_status()

    # --- Publications and faults -----------------------------------------------------------------

    async def _run_race(self) -> None:
        faults = [
            asyncio.create_task(one)
            for one in (self._cause_outages(), self._kill_hosts(), self._signal_sync_points())
        ]
        operator_publications = self.publications // len(OPERATORS)
        await asyncio.gather(
            *(self._run_operator(name, operator_publications) for name in OPERATORS)
        )
        self.publishing = False
        await asyncio.gather(*faults)
        await asyncio.sleep(self.settle)

    async def _signal_sync_points(self) -> None:
        while self.publishing:
            await asyncio.sleep(SYNC_INTERVAL_S)
            self.sync_point.set()
            self.sync_point.clear()

    async def _cause_outages(self) -> None:
        start_time = time.monotonic()
        for outage_start in self.outages:
            await asyncio.sleep(max(0.0, start_time + outage_start - time.monotonic()))
            await self._configure_standin(self.log, outage=True)
            await asyncio.sleep(OUTAGE_S)
            await self._configure_standin(self.log, outage=False)

    async def _kill_hosts(self) -> None:
        start_limit = asyncio.Semaphore(1)
        while self.publishing:
            await asyncio.sleep(KILL_INTERVAL_S)
            alive_runs = [host_run for host_run in self.host_runs if host_run.until == float("inf")]
            host_run = self.rng.choice(alive_runs)
            host_run.until = time.time()
            host_run.process.send(signal.SIGKILL)
            await self._update_host_list()
            await asyncio.sleep(1.0)
            await self._boot(start_limit, int(host_run.host[-3:]))
            await self._update_host_list()

    async def _publish_first(self) -> None:
        result = await self._publish("first", fleet.configuration_entries(CUSTOMER_COUNT))
        if result.outcome != _publish.IN_FORCE:
            raise RuntimeError(f"the first version was not accepted: {result.outcome}")

    async def _run_operator(self, name: str, count: int) -> None:
        publication_count = 0
        while publication_count < count:
            if self.rng.random() < 0.5:
                await self.sync_point.wait()
            else:
                await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            try:
                self.results.append(await self._publish(name))
            except _publish.LogUnavailableError:
                await asyncio.sleep(0.2)
                continue
            publication_count += 1

    async def _publish(
        self, name: str, entries: _configuration.Entries | None = None
    ) -> _publish.Result:
        log = HttpLogService(session=self.session, address=self.log.address, timing=Timing())
        history = await _publish.read_history(log, {})
        if entries is None:
            customer = f"customer-{self.rng.randrange(CUSTOMER_COUNT):05d}"
            key = f"{self.rng.getrandbits(256):064x}"
            fields = {"plan": f"plan-{self.rng.randrange(10)}", "keys": [key]}
            content = history.content.with_changes({"customers": {customer: fields}}, ())
        else:
            content = _configuration.content_of(entries)
        if self.rng.random() < LOST_ANSWER_SHARE and entries is None:
            self.lost_answers += 1
            await self._configure_standin(self.log, lose_replies=1)
        return await Publication(log=log, history=history, content=content, author=name).run()

    # --- Results ---------------------------------------------------------------------------------

    async def _evaluate(self) -> Outcome:
        log = HttpLogService(session=self.session, address=self.log.address, timing=Timing())
        acceptance_times = await _acceptance_times(log)
        run_versions = [
            (host_run, _logged_versions(host_run.process.log)) for host_run in self.host_runs
        ]
        alive_versions = [
            versions for host_run, versions in run_versions if host_run.until == float("inf")
        ]
        delays = _in_force_delays(run_versions, acceptance_times)
        reported_versions = [
            one.version for one in self.results if one.outcome == _publish.IN_FORCE
        ]
        host_delays = sorted(delay for delay_list in delays.values() for delay in delay_list)
        version_delays = sorted(max(delay_list) for delay_list in delays.values() if delay_list)
        return Outcome(
            hosts=self.hosts,
            lives=len(self.host_runs),
            publications=len(self.results),
            accepted=len(reported_versions),
            lost=sum(1 for one in self.results if one.outcome == _publish.LOST),
            unknown=sum(1 for one in self.results if one.outcome == _publish.UNKNOWN),
            appends=sum(one.appends for one in self.results),
            lost_answers=self.lost_answers,
            versions=max(acceptance_times),
            final_versions=sorted(
                {versions[-1][1] if versions else 0 for versions in alive_versions}
            ),
            steps_back=sum(_count_steps_back(versions) for _, versions in run_versions),
            digests_that_differ=_count_differing_digests(run_versions),
            told_but_not_in_force=sorted(set(reported_versions) - set(acceptance_times)),
            host_p50=round(statistics.median(host_delays), 3),
            host_worst=round(host_delays[-1], 3),
            version_p50=round(statistics.median(version_delays), 3),
            version_worst=round(version_delays[-1], 3),
            versions_over_target=sum(1 for delay in version_delays if delay > IN_FORCE_TARGET_S),
        )


async def _acceptance_times(log: HttpLogService) -> dict[int, float]:
    """Return the Unix time at which the log service appended each version that took effect."""
    history = _configuration.History({})
    acceptance_times: dict[int, float] = {}
    while True:
        page = await log.read(_publish.STREAM, history.next_offset, 0)
        for record in page.records:
            previous_version = history.version
            history.read([record], first=page.first)
            if history.version > previous_version:
                acceptance_times[history.version] = record.time
        if not page.records:
            return acceptance_times


LoggedVersions = list[tuple[float, int, str]]


def _logged_versions(path: pathlib.Path) -> LoggedVersions:
    """Return the Unix time, version and digest of each version in force that a host logged."""
    logged_versions = []
    for line in path.read_text().splitlines():
        if "event=configuration_in_force" in line:
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            logged_time = datetime.datetime.fromisoformat(fields["ts"]).timestamp()
            logged_versions.append((logged_time, int(fields["version"]), fields["digest"]))
    return logged_versions


def _count_steps_back(versions: LoggedVersions) -> int:
    pairs = zip(versions, versions[1:], strict=False)
    return sum(1 for earlier_entry, later_entry in pairs if later_entry[1] <= earlier_entry[1])


def _count_differing_digests(run_versions: list[tuple[HostRun, LoggedVersions]]) -> int:
    digests: dict[int, set[str]] = {}
    for _, versions in run_versions:
        for _, version, digest in versions:
            digests.setdefault(version, set()).add(digest)
    return sum(1 for version_digests in digests.values() if len(version_digests) > 1)


def _in_force_delays(
    run_versions: list[tuple[HostRun, LoggedVersions]], acceptance_times: dict[int, float]
) -> dict[int, list[float]]:
    """Return, for each version, the seconds until it was in force at each host then alive.

    The delay is infinite for a host that still runs but never had the version in force.
    """
    delays: dict[int, list[float]] = {version: [] for version in acceptance_times}
    for host_run, versions in run_versions:
        for version, acceptance_time in acceptance_times.items():
            if acceptance_time < host_run.since:
                continue
            in_force_time = next(
                (
                    logged_time
                    for logged_time, logged_version, _ in versions
                    if logged_version >= version
                ),
                None,
            )
            if in_force_time is not None:
                delays[version].append(max(0.0, in_force_time - acceptance_time))
            elif host_run.until == float("inf"):
                delays[version].append(float("inf"))
    return delays


def main() -> None:
    """Run one race and print its results."""
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
        outcome = asyncio.run(race.run())
    if args.json:
        print(msgspec.json.encode(outcome).decode())
        return
    for name, value in msgspec.to_builtins(outcome).items():
        print(f"{name:22} {value}")


if __name__ == "__main__":
    main()
