"""Tests of prompts with as many parts as a header can name."""

import unittest

from wasabiwick._effects import LogLine
from wasabiwick._effects_forwarding import TellLoad
from wasabiwick._forwarding import DEFAULT_MAX_HEADER_BYTES, Crash, Findings
from wasabiwick._handlers import crashing_parts
from wasabiwick._ports import Exchange
from wasabiwick._prompt_parts import MAX_CHARS, MAX_LOGGED
from wasabiwick.platform._endpoints import PlatformDialect

from ._forward import DECODE, MODEL, PREFILL, Host, engine

ENGINES = (engine("p0", PREFILL),) + tuple(engine(f"d{n}", DECODE) for n in range(8))
BAD = "dead0000"


def parts_of(*fields: str) -> tuple[str, ...]:
    """Return the parts that a host reads from a request's header."""
    headers = [(b"X-Wasabiwick-Prefix-Hash", one.encode()) for one in fields]
    exchange = Exchange(method="POST", target="/stream/x", headers=headers, body=b"")
    return PlatformDialect().ask("c", "example", exchange, 0.0).parts


def prompt(number: int, *, last: str = "") -> tuple[str, ...]:
    """Return the parts of a prompt like no other that fills the largest header."""
    most = DEFAULT_MAX_HEADER_BYTES // len("00000000:1,") - 2
    names = [f"{number:04x}{one:04x}" for one in range(most)]
    text = ",".join(f"{one}:1" for one in (*names, *((last,) if last else ()), "ffffffff"))
    assert len(text) <= DEFAULT_MAX_HEADER_BYTES
    return parts_of(text)


def crash(number: int, *parts: str) -> Crash:
    """Return the crash of an engine."""
    return Crash(endpoint=f"x{number}", born=1, service=MODEL, parts=parts, at=100.0)


def chars(crashes: tuple[Crash, ...]) -> int:
    """Return the length of all parts of some crashes."""
    return sum(len(part) for one in crashes for part in one.parts)


class TestLargePrompts(unittest.TestCase):
    """What ends engines is found and blocked wherever it stands in a prompt."""

    def setUp(self) -> None:
        self.host, self.other = Host(endpoints=ENGINES), Host(name="b", endpoints=ENGINES)
        self.host.hear("b")

    def end_engines(self, count: int = 3) -> None:
        """Let engines end over prompts with nothing in common but their last shared part."""
        for number in range(count):
            crashing_parts.add_own_crash(
                self.host.state, crash(number, *prompt(number, last=BAD), f"request:{number}")
            )

    def is_blocked(self, host: Host, *parts: str) -> bool:
        """Return whether a host refuses a request with these parts."""
        return host.refusal(host.ask("stream", parts=parts)) is not None

    def test_every_part_of_the_largest_header_is_read(self) -> None:
        """Parts behind the sixteenth were passed over, so that none of them was ever blocked."""
        found = prompt(7, last=BAD)
        self.assertGreater(len(found), 1_000)
        self.assertEqual((found[0], found[-1]), ("00070000", BAD))

    def test_parts_of_all_fields_are_read(self) -> None:
        """Only those of the last field were read where a header is sent as several."""
        self.assertEqual(parts_of("a:1,b:2", "c:3", "d:4"), ("a", "b", "c"))

    def test_only_the_part_that_ends_engines_is_blocked(self) -> None:
        self.end_engines()
        self.assertTrue(self.is_blocked(self.host, *prompt(9, last=BAD)))
        self.assertFalse(self.is_blocked(self.host, *prompt(1)))

    def test_other_hosts_put_together_what_several_datagrams_tell(self) -> None:
        """Hosts told 64 parts of a crash and kept no more."""
        self.end_engines()
        self.host.run(2.0)
        told = [one for one in self.host.effects if isinstance(one, TellLoad) and one.crashes]
        longest = max(len(BAD), *(chars(one.crashes) for one in told))
        self.assertLessEqual(longest, crashing_parts.MAX_TOLD_CHARS)
        for one in told:
            self.other.hear("a", one)
        self.assertTrue(self.is_blocked(self.other, BAD))
        self.assertEqual(
            {key: set(one.parts) for key, one in self.crashes(self.host).items()},
            {key: set(one.parts) for key, one in self.crashes(self.other).items()},
        )

    def test_every_crash_is_told_as_often_as_datagrams_get_lost(self) -> None:
        self.end_engines()
        counts = dict.fromkeys((f"x{number}" for number in range(3)), 0)
        while crashing_parts.has_untold(self.host.state):
            crashes, _ = crashing_parts.take_untold(self.host.state)
            for one in crashes:
                counts[one.endpoint] += BAD in one.parts
        self.assertEqual(set(counts.values()), {crashing_parts.TELLS})

    def test_what_is_saved_is_bounded_and_names_the_part(self) -> None:
        self.end_engines(8)
        findings = crashing_parts.own_findings(self.host.state)
        self.assertLessEqual(chars(findings.crashes), crashing_parts.MAX_SAVED_CHARS)
        crashing_parts.learn(self.other.state, findings, self.other.now)
        self.assertTrue(self.is_blocked(self.other, BAD))

    def test_memory_stays_bounded(self) -> None:
        self.end_engines()
        for number in range(3, 40):
            crashing_parts.add_own_crash(self.host.state, crash(number, *prompt(number)))
        kept = sum(len(one.parts) for one in self.crashes(self.host).values())
        self.assertLessEqual(kept, crashing_parts.MAX_SUSPECTS)
        self.assertTrue(self.is_blocked(self.host, BAD))

    def test_sound_parts_are_forgotten_before_crashes(self) -> None:
        for number in range(40):
            found = prompt(number)
            told = Findings(host="b", crashes=(crash(number, *found, BAD),), sound=())
            crashing_parts.learn(self.host.state, told, self.host.now)
            crashing_parts.add_sound(self.host.state, MODEL, found, self.host.now)
        self.assertEqual(len(self.crashes(self.host)), 40)
        self.assertTrue(self.is_blocked(self.host, BAD))

    def test_parts_of_other_crashes_are_kept_of_a_crash_with_too_many(self) -> None:
        crashing_parts.add_own_crash(self.host.state, crash(0, BAD))
        many = [part for number in range(20) for part in prompt(number)]
        kept = crashing_parts.bounded(self.host.state, MODEL, (*many, "request:1", BAD))
        self.assertEqual(len(kept), crashing_parts.MAX_PARTS)
        self.assertEqual(kept[:2], (BAD, "request:1"))

    def test_long_identifier_is_kept_short(self) -> None:
        name = "a" * 9_000
        (found,) = parts_of(f"{name}:1,ffff:1")
        self.assertLess(len(found), 2 * MAX_CHARS)
        self.assertEqual(parts_of(f"{name}:5,eeee:1"), (found,))
        self.assertNotEqual(parts_of(f"{name}b:5,eeee:1"), (found,))

    def test_part_that_comes_twice_and_one_without_a_name_count_once_and_not(self) -> None:
        self.assertEqual(parts_of("a:1,b:1,a:1,:5,ffff:1"), ("a", "b"))

    def test_log_lines_stay_short(self) -> None:
        for number in range(3):
            crashing_parts.add_own_crash(self.host.state, crash(number, *prompt(0)))
        self.assertTrue(self.is_blocked(self.host, *prompt(0)))
        lines = [one.fields for one in self.host.effects if isinstance(one, LogLine)]
        listed = [one["parts"] for one in lines if "parts" in one]
        self.assertTrue(listed)
        self.assertLessEqual(max(one.count(",") for one in listed), MAX_LOGGED)

    def crashes(self, host: Host) -> dict[tuple[str, int], Crash]:
        """Return the crashes that a host knows."""
        return host.state["crashing_parts"].crashes
