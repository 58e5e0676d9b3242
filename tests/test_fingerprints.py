"""Tests of fingerprints, by which a request is recognized that comes again."""

import unittest

from wasabiwick._fingerprints import fingerprints, is_fingerprint
from wasabiwick._ports import Exchange
from wasabiwick.platform._endpoints import PlatformDialect

REQUEST = {"method": "GET", "host": "h", "target": "/a/b", "caller": [b"t"], "body": b"x"}


class TestFingerprints(unittest.TestCase):
    """A fingerprint is the same for the same request only."""

    def test_same_request_has_the_same_one(self) -> None:
        self.assertEqual(fingerprints(**REQUEST), fingerprints(**REQUEST))
        self.assertTrue(all(map(is_fingerprint, fingerprints(**REQUEST))))

    def test_every_part_of_the_request_counts(self) -> None:
        others = (
            {"method": "POST"},
            {"host": "g"},
            {"target": "/a/c"},
            {"caller": []},
            {"caller": [b"u"]},
            {"body": b""},
            {"target": "/a/bx", "body": b""},
        )
        found = {fingerprints(**{**REQUEST, **other}) for other in others}
        self.assertEqual(len(found | {fingerprints(**REQUEST)}), len(others) + 1)

    def test_query_narrows_a_request_down(self) -> None:
        wide, narrow = fingerprints(**{**REQUEST, "target": "/a/b?page=1"})
        self.assertEqual((wide,), fingerprints(**REQUEST))
        self.assertTrue(narrow.startswith(f"{wide}:"))
        self.assertNotEqual(narrow, fingerprints(**{**REQUEST, "target": "/a/b?page=2"})[1])


class TestRepeats(unittest.TestCase):
    """What differs between the tries of a caller does not count; who the caller is does."""

    def found(self, *headers: tuple[bytes, bytes]) -> tuple[str, ...]:
        """Return the fingerprints of a request with more headers."""
        exchange = Exchange(
            method="POST", target="/a/b", headers=[(b"Host", b"h"), *headers], body=b"x"
        )
        return PlatformDialect().ask("c", "h", exchange, 0.0).fingerprints

    def test_another_attempt_has_the_same_one(self) -> None:
        tries = [
            self.found(
                (b"X-Wasabiwick-Attempt-Id", b"%d" % number),
                (b"X-Wasabiwick-Deadline-Ms", b"%d" % number),
                (b"Last-Event-Id", b"%d" % number),
            )
            for number in range(3)
        ]
        self.assertEqual(len(set(tries)), 1)

    def test_another_caller_has_another_one(self) -> None:
        callers = [self.found((b"X-Wasabiwick-Tenant", b"%d" % number)) for number in range(3)]
        self.assertEqual(len(set(callers)), 3)
