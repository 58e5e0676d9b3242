"""Tests of the soak's checks, and a short soak."""

import asyncio
import typing
import unittest

from . import _soak_answers as answers
from ._soak import Soak
from ._soak_checks import Checks, Finding
from ._soak_organisations import LIMITED, PUBLIC, STEADY, Organisations, Version
from ._soak_record import (
    BROKE_OFF,
    CLOSED,
    CLOSED_ON,
    COMPLETE,
    DONE,
    LEFT,
    REFUSED,
    RESET,
    Attempt,
    Change,
    Life,
    Record,
    Run,
)

TERM = 100.0  # When the host of these tests got SIGTERM.
SEAL = "seal.i-1.1"
SEED = 5
HOSTS = 2
SECONDS = 14.0
LOAD = 0.4


class Seen:
    """What was seen of one host that got SIGTERM."""

    def __init__(self) -> None:
        self.record = Record()
        self.life = Life("edge-1", 1)
        self.life.began = TERM - 50.0
        self.life.terms.append(TERM)
        self._count = 0

    def attempt(
        self,
        sent: float,
        ended: float,
        *,
        kind: str = "group-join",
        how: str = CLOSED,
        status: int = 0,
        pieces: int = 0,
        **fields: typing.Any,
    ) -> Attempt:
        """Add a request that was sent and ended at these seconds after SIGTERM."""
        self._count += 1
        is_stream = pieces > 0
        one = Attempt(
            name=f"a{self._count:08x}",
            kind=kind,
            life=self.life,
            pieces=pieces,
            patience=14.0 if is_stream else 0.8,
            deadline=14.0 if is_stream else 1.5,
        )
        one.first_sent = one.sent = TERM + sent
        one.ended = TERM + ended
        one.how, one.status = how, status
        for name, value in fields.items():
            setattr(one, name, value)
        self.record.attempts.append(one)
        return one

    def run(
        self, attempt: Attempt, begun: float, ended: float, how: str = DONE, status: int = 200
    ) -> Run:
        """Add what an endpoint did for a request."""
        one = Run(name=attempt.name, engine="i-1", stage="plain")
        one.begun, one.ended, one.how = TERM + begun, TERM + ended, how
        one.would_end = one.ended
        one.seal, one.status = SEAL, status
        self.record.add_run(one)
        return one

    def rules(self, organisations: Organisations | None = None) -> list[str]:
        """Return the rules that were broken."""
        found: list[Finding] = []
        Checks(self.record, found.append, organisations).check_all()
        return [one.rule for one in found]


def answered(attempt: Attempt, body: bytes, status: int = 200) -> None:
    """Let a request have a whole answer with a seal."""
    attempt.how, attempt.status, attempt.body = COMPLETE, status, body
    attempt.headers = {"x-wasabiwick-response-seal": SEAL}


class LostTest(unittest.TestCase):
    """A request that ends without an answer around a stop is found, unless the rule excuses it."""

    def setUp(self) -> None:
        self.seen = Seen()

    def test_request_at_work_is_lost(self) -> None:
        one = self.seen.attempt(7.2, 7.6)
        self.seen.run(one, 7.21, 7.6, CLOSED_ON)
        self.assertEqual(self.seen.rules(), ["LOST (SIGTERM)"])

    def test_request_that_was_only_read_is_lost_behind_the_slack(self) -> None:
        self.seen.attempt(7.0, 7.1)
        self.assertEqual(self.seen.rules(), [])
        self.seen.attempt(7.0, 7.3)
        self.assertEqual(self.seen.rules(), ["LOST (SIGTERM)"])

    def test_request_that_was_not_read_is_not_lost(self) -> None:
        self.seen.attempt(7.0, 7.6, how=RESET)
        self.assertEqual(self.seen.rules(), [])

    def test_refusal_by_an_endpoint_passes_nothing_on(self) -> None:
        one = self.seen.attempt(7.0, 7.1)
        self.seen.run(one, 7.05, 7.05, REFUSED)
        self.assertEqual(self.seen.rules(), [])

    def test_deadline_and_timeout_excuse(self) -> None:
        for fields in ({"deadline": 0.4}, {"patience": 0.4}):
            one = self.seen.attempt(7.1, 7.55, **fields)
            self.seen.run(one, 7.2, 7.55, CLOSED_ON)
        self.assertEqual(self.seen.rules(), [])

    def test_engine_that_broke_off_excuses(self) -> None:
        one = self.seen.attempt(7.1, 7.55)
        self.seen.run(one, 7.2, 7.55, BROKE_OFF)
        self.assertEqual(self.seen.rules(), [])

    def test_work_in_the_last_sixth_excuses_what_was_sent_within_three_seconds(self) -> None:
        for sent in (2.9, 3.1):
            one = self.seen.attempt(sent, 7.5, kind="guide-draft", pieces=90, status=200)
            one.headers = {"x-wasabiwick-response-seal": SEAL}
            self.seen.run(one, 3.2, 7.5, CLOSED_ON)
        self.assertEqual(self.seen.rules(), ["LOST (SIGTERM)"])

    def test_work_that_ends_before_the_last_sixth_excuses_nothing(self) -> None:
        one = self.seen.attempt(0.5, 6.0, kind="guide-draft", pieces=90, status=200)
        one.headers = {"x-wasabiwick-response-seal": SEAL}
        self.seen.run(one, 0.6, 6.0, CLOSED_ON)
        self.assertEqual(self.seen.rules(), ["LOST (SIGTERM)"])

    def test_request_before_the_signal_counts_if_it_is_cut_behind_it(self) -> None:
        one = self.seen.attempt(-0.1, 0.3)
        self.seen.run(one, -0.1, 0.3, CLOSED_ON)
        self.assertEqual(self.seen.rules(), ["LOST (SIGTERM)"])

    def test_cut_behind_a_change_of_settings_is_lost(self) -> None:
        self.seen.life.terms.clear()
        self.seen.life.hups.append(TERM)
        for sent in (-0.5, 1.9, 2.1):
            one = self.seen.attempt(sent, sent + 0.6)
            self.seen.run(one, sent, sent + 0.6, CLOSED_ON)
        self.assertEqual(self.seen.rules(), ["LOST (SIGHUP)"] * 2)


class OtherRulesTest(unittest.TestCase):
    """Answers of others, short ones, second runs and false refusals are found by their names."""

    def setUp(self) -> None:
        self.seen = Seen()

    def _answer(self, body: bytes, **fields: typing.Any) -> Attempt:
        one = self.seen.attempt(-9.0, -8.5, **fields)
        answered(one, body)
        self.seen.run(one, -8.9, -8.6)
        return one

    def test_whole_answers_break_nothing(self) -> None:
        one = self._answer(b"")
        one.body = answers.plain_body(one.name)
        two = self._answer(b"", kind="guide-draft", pieces=5)
        two.body = answers.stream_body(two.name, 5)
        self.assertEqual(self.seen.rules(), [])

    def test_short_answer_is_mixed(self) -> None:
        one = self._answer(b"")
        one.body = answers.plain_body(one.name)[:-1]
        self.assertEqual(self.seen.rules(), ["MIXED"])

    def test_answer_of_another_request_is_mixed(self) -> None:
        one = self._answer(b"")
        one.body = answers.plain_body("another")
        self.assertEqual(self.seen.rules(), ["MIXED"])

    def test_success_in_place_of_a_failure_is_mixed(self) -> None:
        one = self._answer(b"")
        one.body = answers.plain_body(one.name)
        self.seen.record.runs[one.name][0].status = 504
        self.assertEqual(self.seen.rules(), ["MIXED"])

    def test_pieces_that_are_missing_or_come_twice_break_the_order(self) -> None:
        for pieces in ((1, 2, 4, 5), (1, 2, 2, 3, 4, 5), (1, 2, 3, 4)):
            one = self._answer(b"", kind="guide-draft", pieces=5)
            one.body = b"".join(answers.event(one.name, number) for number in pieces)
        self.assertEqual(self.seen.rules(), ["ORDER"] * 3)

    def test_second_run_of_what_may_run_once(self) -> None:
        for kind in ("group-join", "roster-read"):
            one = self._answer(b"", kind=kind)
            one.body = answers.plain_body(one.name)
            self.seen.run(one, -8.8, -8.7)
        self.assertEqual(self.seen.rules(), ["TWICE"])

    def test_refusal_of_what_runs_later(self) -> None:
        one = self.seen.attempt(-9.0, -8.9, how=COMPLETE, status=503)
        self.assertEqual(self.seen.rules(), [])
        self.seen.run(one, -8.0, -7.9)
        self.assertEqual(self.seen.rules(), ["REFUSED"])

    def test_work_for_callers_that_left(self) -> None:
        for _ in range(5):
            one = self.seen.attempt(-9.0, -8.9, kind="roster-read", how=LEFT)
            self.seen.run(one, -9.0, -8.0)
        self.assertEqual(self.seen.rules(), ["GONE"])


class OrganisationRulesTest(unittest.TestCase):
    """What is served against keys and limits is found by the names of the rules."""

    def setUp(self) -> None:
        self.seen = Seen()
        self.organisations = Organisations(1)
        self.key = self.organisations.limited_key()
        self._change(-1000.0, {STEADY: "abbey", self.key: LIMITED})
        self.organisations.versions.pop(0)

    def _change(self, at: float, holders: dict[str, str]) -> None:
        change = Change(version=8, added="", dropped="", sent=TERM + at)
        change.acked = change.sent + 0.1
        self.organisations.versions.append(Version(change, holders, 3))

    def _served(
        self, sent: float, key: str, organisation: str, kind: str = "roster-read"
    ) -> tuple[Attempt, Run]:
        one = self.seen.attempt(sent, sent + 0.1, kind=kind, key=key)
        answered(one, answers.plain_body(one.name))
        run = self.seen.run(one, sent, sent + 0.1)
        run.organisation = organisation
        return one, run

    def _refused(self, sent: float, key: str, status: int, kind: str = "roster-read") -> None:
        self.seen.attempt(sent, sent, kind=kind, key=key, how=COMPLETE, status=status)

    def _rules(self) -> list[str]:
        return self.seen.rules(self.organisations)

    def test_what_keys_and_limits_allow_breaks_nothing(self) -> None:
        self._change(-20.0, {STEADY: "abbey"})
        self._served(-30.0, self.key, LIMITED)
        self._served(-18.5, self.key, LIMITED)
        self._served(-10.0, self.key, "", PUBLIC)
        self._served(-10.0, "", "", PUBLIC)
        self._refused(-10.0, self.key, 401)
        self._refused(-10.0, "none", 401)
        self.assertEqual(self._rules(), [])

    def test_key_or_name_that_an_endpoint_must_not_get_is_unasked(self) -> None:
        _, run = self._served(-10.0, STEADY, "abbey")
        run.shows_key = True
        for key, name, kind in (
            (STEADY, LIMITED, "roster-read"),
            (STEADY, "", PUBLIC),
            ("none", "abbey", PUBLIC),
        ):
            self._served(-10.0, key, name, kind)
        self.assertEqual(self._rules(), ["UNASKED"] * 4)

    def test_key_that_was_never_held_breaks_the_route(self) -> None:
        self._change(-5.0, {STEADY: "abbey", "new": "choir"})
        for key in ("none", "", "new"):
            self._served(-10.0, key, "")
        self.assertEqual(self._rules(), ["ROUTE"] * 3)

    def test_key_is_served_as_only_an_older_version_allows(self) -> None:
        self._change(-20.0, {STEADY: "abbey", "new": "choir"})
        self._served(-17.0, self.key, LIMITED)
        self._refused(-17.0, "new", 401)
        self._refused(-17.0, "", 401, PUBLIC)
        self.assertEqual(self._rules(), ["CONFIG"] * 3)

    def test_more_than_the_limit_runs_within_a_window(self) -> None:
        most = int(self.organisations.most(3) / self.organisations.unit)
        for number in range(most):
            self._served(-20.0 + 0.1 * number, self.key, LIMITED)
        self.assertEqual(self._rules(), [])
        self._served(-13.0, self.key, LIMITED)
        self.assertEqual(self._rules(), ["QUOTA"])

    def test_organisation_that_is_served_far_less_often_is_starved(self) -> None:
        self.organisations.versions[0].holders["other"] = "choir"
        for number in range(40):
            self._served(-20.0, STEADY, "abbey")
            if number < 8:
                self._served(-20.0, "other", "choir")
            else:
                self._refused(-20.0, "other", 503)
        self.assertEqual(self._rules(), [])
        for _ in range(60):
            self._refused(-20.0, "other", 503)
        self.assertEqual(self._rules(), ["STARVED"])


class ShortSoakTest(unittest.TestCase):
    """Two hosts under load, of which one is stopped and started again, break no rule."""

    def test_short_soak(self) -> None:
        """It guards against requests that a stopping host accepts and then ends unanswered."""
        lines: list[str] = []
        soak = Soak(seed=SEED, hosts=HOSTS, load=LOAD, show=lines.append)
        held = asyncio.run(soak.run(SECONDS))
        self.assertTrue(held, "\n".join([*lines, *soak.summary()]))
        stopped = [life for life in soak.record.lives if life.term is not None]
        sent = [one for one in soak.record.attempts if one.sent is not None]
        late = [one for one in sent if one.life in stopped and one.sent > one.life.term]
        self.assertTrue(late)

    def test_short_soak_with_organisations(self) -> None:
        """It guards against keys and limits that the code takes otherwise than callers see them."""
        lines: list[str] = []
        soak = Soak(seed=SEED, hosts=HOSTS, load=LOAD, show=lines.append, has_organisations=True)
        held = asyncio.run(soak.run(SECONDS))
        self.assertTrue(held, "\n".join([*lines, *soak.summary()]))
        statuses = {one.status for one in soak.record.attempts}
        self.assertLessEqual({200, 401, 429}, statuses)
        self.assertTrue(soak.record.changes)


if __name__ == "__main__":
    unittest.main()
