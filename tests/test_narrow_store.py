"""Tests of hosts as processes on narrow paths to the store."""

import typing
import unittest

from ._narrow_site import ROOT, Member, NarrowSite, Plan

# Changes have to be in force everywhere within this, as CONTRIBUTING.md says.
IN_FORCE_S = 12.0
SEED = 1


class NarrowStoreTest(unittest.IsolatedAsyncioTestCase):
    """Hosts whose paths carry a configuration slowly serve its last route all the same."""

    async def test_configuration_longer_than_a_call_is_read(self) -> None:
        """Hosts stayed at the version before for good, and answered 404 for routes that exist."""
        members = await _run(Plan(hosts=3, rate=140_000, seconds=IN_FORCE_S, seed=SEED))
        self.assertEqual(_not_serving(members), [])

    async def test_listeners_read_while_their_readers_are_behind(self) -> None:
        """Readers that were behind went on telling that nothing is new, and others relied on it."""
        members = await _run(Plan(hosts=5, readers_rate=80_000, seconds=IN_FORCE_S, seed=SEED))
        self.assertEqual(_not_serving(members), [])
        readers = [one.served_after for one in members if one.reads]
        listeners = [one.served_after for one in members if not one.reads]
        self.assertEqual((len(readers), len(listeners)), (2, 3))
        # Those that wait for the readers are served at the same time as these, within an interval
        # of asking.
        self.assertLess(max(listeners), min(readers) / 2)


async def _run(plan: Plan) -> typing.Sequence[Member]:
    site = NarrowSite(plan, {"": ROOT})
    await site.run()
    return site.members


def _not_serving(members: typing.Sequence[Member]) -> list[str]:
    return [one.host.name for one in members if one.served_after is None]
