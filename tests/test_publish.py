"""Tests of publishing with concurrent operators, lost answers and outages of the log."""

import asyncio
import pathlib
import random
import tempfile
import typing
import unittest

import looptime
import msgspec
from click.testing import CliRunner
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from wasabiwick import _cli, _configuration, _errors, _lists_file, _publish, _wire
from wasabiwick._handlers import lists
from wasabiwick._reducer import reduce
from wasabiwick._verdict import Verdict

from . import test_lists
from .test_lists import ALLOWANCES, KEY, PLANS, PUBLISHERS, content

SIGNER = _publish.Signer(key_id="k1", key=KEY)


class FakeLog:
    """In-memory log of the configuration stream that can lose requests or answers and be down."""

    def __init__(self, seed: int = 0, lost: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.lost = lost  # Share of appends whose answer is lost.
        self.down = False
        self.drops = 0  # Number of coming appends whose request is lost.
        self.records: list[_wire.LogRecord] = []

    async def append(self, stream: str, records: tuple[str, ...]) -> int | _errors.Failure:
        await asyncio.sleep(self.rng.uniform(0, 0.02))
        if self.down:
            return unavailable(Verdict.NOT_RUN)
        if self.drops:
            self.drops -= 1
            return unavailable(Verdict.MAY_HAVE_RUN)
        first = len(self.records)
        for data in records:
            offset = len(self.records)
            self.records.append(_wire.LogRecord(offset=offset, time=1000.0, data=data))
        await asyncio.sleep(self.rng.uniform(0, 0.02))
        if self.rng.random() < self.lost:
            return unavailable(Verdict.MAY_HAVE_RUN)
        return first

    async def read(self, stream: str, offset: int, wait: float) -> _wire.LogPage | _errors.Failure:
        await asyncio.sleep(self.rng.uniform(0, 0.02))
        if self.down:
            return unavailable(Verdict.NOT_RUN)
        end = len(self.records)
        return _wire.LogPage(first=0, end=end, records=tuple(self.records[offset : offset + 7]))


def unavailable(verdict: Verdict) -> _errors.Failure:
    return _errors.Failure(reason=_errors.LOG_UNAVAILABLE, verdict=verdict)


async def publish(
    log: FakeLog, rate: float, author: str = "ana", **options: object
) -> _publish.Result:
    history = await _publish.read_history(log, PUBLISHERS)
    one = _publish.Publication(
        log=log,
        history=history,
        content=content(rate=rate),
        author=author,
        signer=SIGNER,
        rng=log.rng,
        **options,
    )
    return await one.run()


class Operator:
    """Publishes repeatedly and records the reported outcomes.

    ``accepted`` holds the versions reported as in force, ``winners`` the authors of the versions
    reported to have won instead.
    """

    def __init__(self, log: FakeLog, name: str) -> None:
        self.log = log
        self.name = name
        self.accepted: list[int] = []
        self.winners: list[str] = []

    async def publish_many(self, count: int) -> None:
        for number in range(count):
            rate = 1 + number + 1000 * len(self.name)
            try:
                result = await publish(self.log, rate, self.name)
            except _publish.LogUnavailableError:
                await asyncio.sleep(0.5)
                continue
            if result.outcome == _publish.IN_FORCE:
                self.accepted.append(result.version)
            elif result.outcome == _publish.LOST:
                self.winners.append(result.winner)


class VirtualTime(unittest.TestCase):
    """Base of tests whose coroutines run on virtual time."""

    def run_async(self, work: object) -> object:
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(work)


class TestOutcome(VirtualTime):
    """The reported outcome must match the log: whether the version took effect, or who won."""

    def test_new_lists_are_accepted_and_equal_ones_unchanged(self) -> None:
        async def work() -> None:
            log = FakeLog()
            first = await publish(log, 1)
            second = await publish(log, 2)
            self.assertEqual((first.outcome, first.version), (_publish.IN_FORCE, 1))
            self.assertEqual((second.outcome, second.replaces), (_publish.IN_FORCE, 1))
            same = await publish(log, 2)
            self.assertEqual((same.outcome, same.version), (_publish.UNCHANGED, 2))

        self.run_async(work())

    def test_lost_answer_is_resolved_by_reading_the_log(self) -> None:
        async def work() -> None:
            log = FakeLog(lost=1.0)
            result = await publish(log, 1)
            self.assertEqual((result.outcome, result.appends), (_publish.IN_FORCE, 1))

        self.run_async(work())

    def test_lost_request_is_sent_again(self) -> None:
        async def work() -> None:
            log = FakeLog()
            log.drops = 3
            result = await publish(log, 1)
            self.assertEqual((result.outcome, result.appends), (_publish.IN_FORCE, 4))

        self.run_async(work())

    def test_losing_operator_is_told_who_won(self) -> None:
        async def work() -> None:
            log = FakeLog()
            await publish(log, 1)
            results = await asyncio.gather(publish(log, 2, "ana"), publish(log, 3, "rui"))
            self.assertEqual(
                sorted(one.outcome for one in results), [_publish.IN_FORCE, _publish.LOST]
            )
            won, lost = sorted(results, key=lambda one: one.outcome)
            self.assertEqual(lost.winner, won.author)

        self.run_async(work())

    def test_edit_of_an_older_version_does_not_overwrite(self) -> None:
        async def work() -> None:
            log = FakeLog()
            await publish(log, 1)
            await publish(log, 2, "rui")
            late = await publish(log, 3, "ana", replaces=1)
            self.assertEqual((late.outcome, late.winner), (_publish.LOST, "rui"))
            history = await _publish.read_history(log, PUBLISHERS)
            self.assertEqual(history.version, 2)

        self.run_async(work())

    def test_accepted_version_is_reported_after_many_later_ones(self) -> None:
        """The record took effect; 80 later versions follow before its operator reads the log."""

        async def work() -> None:
            log = FakeLog()
            slow = _publish.Publication(
                log=log,
                history=await _publish.read_history(log, PUBLISHERS),
                content=content(rate=1),
                author="ana",
                signer=SIGNER,
            )
            await log.append(_publish.STREAM, (slow.data,))
            for rate in range(2, 82):
                await publish(log, rate, "rui")
            result = await slow.run()
            self.assertEqual((result.outcome, result.version), (_publish.IN_FORCE, 1))

        self.run_async(work())

    def test_lasting_outage_is_reported(self) -> None:
        async def work() -> None:
            log = FakeLog()
            history = await _publish.read_history(log, PUBLISHERS)
            one = _publish.Publication(
                log=log, history=history, content=content(), author="ana", signer=SIGNER, timeout=5
            )
            log.down = True
            self.assertEqual((await one.run()).outcome, _publish.NOT_PUBLISHED)
            log.down = False
            log.drops = 10**6
            self.assertEqual((await one.run()).outcome, _publish.UNKNOWN)

        self.run_async(work())

    def test_chain_of_partial_records_is_bounded(self) -> None:
        """Without a full record now and then, a host that starts would read ever more records."""

        async def work() -> None:
            log = FakeLog()
            for rate in range(1, 41):
                await publish(log, rate)
            history = await _publish.read_history(log, PUBLISHERS)
            self.assertEqual(history.version, 40)
            self.assertLess(len(history.chain), 20)
            full = len(history.chain[0])
            self.assertLess(sum(map(len, history.chain)), 2 * full + 2_000)

        self.run_async(work())


class TestRacing(VirtualTime):
    """Concurrent operators, lost answers and log outages leave all hosts with the same version.

    Hosts see the versions in one order, and these are exactly those reported as in force.
    """

    def test_hosts_agree_with_what_operators_were_told(self) -> None:
        log = FakeLog(seed=3, lost=0.2)
        operators = [Operator(log, name) for name in ("ana", "berta", "carlos", "d")]

        async def outages() -> None:
            for _ in range(3):
                await asyncio.sleep(1.5)
                log.down = True
                await asyncio.sleep(10.0)
                log.down = False

        async def work() -> None:
            await asyncio.gather(outages(), *(one.publish_many(50) for one in operators))

        self.run_async(work())
        order = self.read_by_host("h0", log.records, (1,))
        seen = [self.read_by_host(f"h{n}", log.records, range(1, 12)) for n in range(1, 9)]
        self.assertEqual(order, sorted(order))
        for host_order in seen:
            self.assertEqual(host_order[-1], order[-1])
            self.assertEqual(host_order, [one for one in order if one in host_order])
        told = sorted(version for one in operators for version in one.accepted)
        self.assertEqual(told, list(range(1, order[-1][0] + 1)))
        self.assertTrue(any(one.winners for one in operators))

    def read_by_host(
        self, name: str, records: list[_wire.LogRecord], page_lengths: typing.Sequence[int]
    ) -> list[tuple[int, str]]:
        """Feed the log to a host in pages, each of a random one of the given lengths.

        Returns:
            Version and digest of each version that the host had in force, in order.
        """
        rng = random.Random(name)
        host = test_lists.new_host(name)
        at, order = 0, []
        while at < len(records):
            page = records[at : at + rng.choice(page_lengths)]
            at += len(page)
            reduce(host, test_lists.log_read(page, end=len(records)))
            version = lists.version(host)
            if version and (not order or order[-1][0] != version):
                order.append((version, host["lists"].history.content.digest))
        return order


class TestCommands(unittest.TestCase):
    """The commands reject invalid lists, accept valid ones, and create keys that can sign."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "plans.yaml").write_text(PLANS.replace("plan: gold, ", "plan: none, "))
        (self.folder / "allowances.yaml").write_text(ALLOWANCES)

    def invoke(self, *args: str) -> object:
        return CliRunner().invoke(_cli.main, args)

    def test_faults_stop_a_publication(self) -> None:
        plans, allowances = (str(self.folder / f"{name}.yaml") for name in ("plans", "allowances"))
        done = self.invoke(
            "publish", "--log", "http://x", "--plans", plans, "--allowances", allowances
        )
        self.assertEqual(done.exit_code, 2)
        self.assertIn('line 1: plans.lectio.plan: plan "none" does not exist', done.output)

    def test_check_accepts_valid_allowances(self) -> None:
        done = self.invoke("check", str(self.folder / "allowances.yaml"))
        self.assertEqual((done.exit_code, "allowances are valid" in done.output), (0, True))

    def test_created_key_signs_records_that_its_public_key_verifies(self) -> None:
        path = self.folder / "key.pem"
        public = self.invoke("publisher-key", "--out", str(path)).output.strip()
        key = load_pem_private_key(path.read_bytes(), password=None)
        record = _configuration.make_record(
            version=1, replaces=0, author="a", old=content(), new=content(rate=2), partial=False
        )
        signed = _configuration.sign(record, "mine", key)
        _configuration.verify(signed, {"mine": public})
        altered = msgspec.structs.replace(signed, version=2)
        with self.assertRaises(_configuration.InvalidRecordError):
            _configuration.verify(altered, {"mine": public})

    def test_lists_written_out_can_be_read_again(self) -> None:
        entries = content().entries
        plans, allowances = _lists_file.to_yaml(entries)
        self.assertEqual(_lists_file.check_lists(plans, allowances), [])
        self.assertEqual(_lists_file.read_lists(plans, allowances), entries)
