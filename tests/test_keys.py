"""Tests of the owners of request keys."""

import unittest

from tests import _world
from wasabiwick import _effects, _events, _wire, reduce


class TestStoppingOwner(unittest.TestCase):
    """A stopping owner passes claims on to the host that others of its zone tell now."""

    def setUp(self) -> None:
        self.world = _world.World(("a", "b", "c"))
        self.owner = self.world.hosts["b"]
        self.asker = self.world.hosts["a"]

    def claim(self, key: str, *, forwarded: bool = False) -> list[_effects.SendPeer]:
        message = _wire.ClaimKey(
            request_id=key, attempt_id="x", claimant=self.asker.owner, forwarded=forwarded
        )
        event = _events.PeerMessage(
            at=self.world.now, sender=self.asker.owner, zone=_world.ZONE, message=message
        )
        return [
            one
            for one in reduce(self.owner.state, event)
            if isinstance(one, _effects.SendPeer) and one.message.request_id == key
        ]

    def test_claim_goes_to_the_successor_once(self) -> None:
        reduce(self.owner.state, _events.StopAsked(at=self.world.now))
        for number in range(20):
            (sent,) = self.claim(f"k{number}")
            self.assertIn(sent.host, ("a", "c"))
            self.assertTrue(sent.message.forwarded)
            self.assertEqual(sent.message.claimant, self.asker.owner)
            (answer,) = self.claim(f"k{number}", forwarded=True)
            self.assertIsInstance(answer.message, _wire.KeyClaimed)

    def test_known_request_is_answered_by_the_stopping_owner_itself(self) -> None:
        served = _wire.KeyServed(
            request_id="k", attempt_id="y", serving=self.world.hosts["c"].owner, engine="engine-0"
        )
        told = _events.PeerMessage(
            at=self.world.now, sender=served.serving, zone=_world.ZONE, message=served
        )
        reduce(self.owner.state, told)
        reduce(self.owner.state, _events.StopAsked(at=self.world.now))
        (answer,) = self.claim("k")
        self.assertEqual(answer.message.serving, served.serving)
        self.assertEqual(answer.message.engine, "engine-0")
