"""Tests of the base class of records and of the codec of recorded traces."""

import unittest

from wasabiwick import _effects, _errors, _events, _record, _verdict, _wire


class TestCodec(unittest.TestCase):
    """A record that was converted to builtins is restored unchanged; replay relies on it."""

    def test_event_with_message(self) -> None:
        event = _events.PeerMessage(
            at=1.5,
            sender=_wire.Owner(host="a", incarnation="1"),
            zone="z",
            message=_wire.Release(
                request_id="r",
                attempt_id="x",
                owner=_wire.Owner(host="a", incarnation="1"),
                engine="e",
            ),
        )
        restored = _record.from_builtins(_record.to_builtins(event))
        self.assertEqual(restored, event)

    def test_effect_with_failure(self) -> None:
        effect = _effects.RefuseCall(
            call_id="c",
            failure=_errors.Failure(
                reason=_errors.OVERLOADED, verdict=_verdict.Verdict.NOT_RUN, retry_after=2.0
            ),
        )
        self.assertEqual(_record.from_builtins(_record.to_builtins(effect)), effect)

    def test_error_names_an_unknown_record_class(self) -> None:
        with self.assertRaisesRegex(ValueError, "Nonsense"):
            _record.from_builtins({"record": "Nonsense"})
