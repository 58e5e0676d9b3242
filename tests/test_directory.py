"""Tests of the endpoint directory: order of entries, whole lists, outages of the list's source."""

import unittest

from wasabiwick import _events
from wasabiwick._forwarding import Listing
from wasabiwick._handlers import directory

from ._forward import ENDPOINTS, Host, plain


def gone_at(name: str, offset: int) -> Listing:
    """Return a removed entry."""
    return Listing(name=name, offset=offset, endpoint=None)


class TestOrder(unittest.TestCase):
    """An entry that is read late does not replace a newer one."""

    def test_an_older_offset_is_ignored(self) -> None:
        host = Host()
        old = Listing(name="s0", offset=0, endpoint=plain("s0"))
        host.read_list(plain("s0", leaving=True))
        host.feed(_events.EndpointsRead, listings=(old,), upto=1)
        self.assertFalse(directory.is_usable(host.state, "s0"))

    def test_an_entry_that_is_back_in_the_same_page_is_used(self) -> None:
        """The first read after an outage brings both; the endpoint was removed for good."""
        host = Host()
        back = Listing(name="s0", offset=101, endpoint=plain("s0"))
        host.feed(_events.EndpointsRead, listings=(gone_at("s0", 100), back), upto=102)
        self.assertTrue(directory.is_usable(host.state, "s0"))
        host.feed(
            _events.EndpointsRead,
            listings=(Listing(name="s0", offset=102, endpoint=plain("s0")), gone_at("s0", 103)),
            upto=104,
        )
        self.assertFalse(directory.is_usable(host.state, "s0"))

    def test_an_unreadable_entry_removes_only_its_own_endpoint(self) -> None:
        host = Host()
        host.drop("s0")
        self.assertFalse(directory.is_usable(host.state, "s0"))
        self.assertTrue(directory.is_usable(host.state, "s1"))


class TestWholeList(unittest.TestCase):
    """An endpoint that is missing in a whole list is removed, unless its entry is newer.

    The whole list is read again if the changes since the last read are no longer available.
    """

    def test_missing_names_are_removed(self) -> None:
        host = Host()
        host.read_list(plain("s1"), whole=True)
        self.assertFalse(directory.is_usable(host.state, "s0"))
        self.assertTrue(directory.is_usable(host.state, "s1"))

    def test_a_list_older_than_an_entry_does_not_remove_it(self) -> None:
        host = Host()
        host.read_list(plain("s9"))
        host.feed(_events.EndpointsRead, listings=(), upto=1, whole=True)
        self.assertTrue(directory.is_usable(host.state, "s9"))


class TestRestoredList(unittest.TestCase):
    """A list that came back from a copy some seconds old frees no endpoint that had left."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(plain("s0", born=1), plain("s1", born=1)))

    def usable(self) -> list[str]:
        """Return the names of the endpoints that get new work."""
        found = directory.usable_endpoints(self.host.state, "sign-up")
        return sorted(one.name for one in found)

    def test_endpoint_whose_entry_was_removed_is_not_used_by_the_copy(self) -> None:
        self.host.drop("s0")
        self.host.restore_list(plain("s0", born=1), plain("s1", born=1))
        self.assertEqual(self.usable(), ["s1"])

    def test_removed_endpoint_is_not_used_by_the_second_of_two_copies(self) -> None:
        self.host.drop("s0")
        self.host.feed(_events.StoreRestored, era=1)
        self.host.restore_list(plain("s0", born=1), plain("s1", born=1))
        self.assertEqual(self.usable(), ["s1"])

    def test_endpoint_that_writes_its_entry_again_is_used(self) -> None:
        self.host.drop("s0")
        self.host.restore_list(plain("s0", born=1), plain("s1", born=1))
        self.host.read_list(plain("s0", born=1))
        self.assertEqual(self.usable(), ["s0", "s1"])

    def test_endpoint_whose_entry_said_that_it_leaves_is_not_used_by_the_copy(self) -> None:
        self.host.read_list(plain("s0", born=1, leaving=True))
        self.host.restore_list(plain("s0", born=1), plain("s1", born=1))
        self.host.read_list(plain("s0", born=1))
        self.assertEqual(self.usable(), ["s1"])

    def test_endpoint_newer_than_the_copy_is_used_until_it_had_time_to_list_itself(self) -> None:
        self.host.read_list(plain("s2", born=2))
        self.host.restore_list(plain("s0", born=1), plain("s1", born=1))
        self.assertEqual(self.usable(), ["s0", "s1", "s2"])
        self.host.run(directory.RELIST_TIME_S + 0.1)
        self.assertEqual(self.usable(), ["s0", "s1"])

    def test_newer_entry_at_a_lower_offset_is_applied(self) -> None:
        for _ in range(5):
            self.host.read_list(plain("s0", born=1))
        self.host.restore_list(plain("s0", born=1), plain("s1", born=1))
        self.host.read_list(plain("s0", born=1, leaving=True))
        self.assertEqual(self.usable(), ["s1"])


class TestOutage(unittest.TestCase):
    """Entries that lapse in an outage are kept until live endpoints could list themselves again.

    If they were removed at once, a service would have no endpoints right after an outage of the
    list's source, though all of them are running.
    """

    def setUp(self) -> None:
        self.host = Host()
        self.host.feed(_events.FeedChanged, feed="endpoints", up=False, why="no answer")
        self.host.run(4.0)
        self.host.feed(_events.FeedChanged, feed="endpoints", up=True)

    def lapse_plain_endpoints(self) -> None:
        """Let the host read a whole list without the two endpoints of the plain service."""
        self.host.read_list(*(one for one in ENDPOINTS if one.service != "sign-up"), whole=True)

    def test_lapsed_entries_are_used_for_two_seconds(self) -> None:
        self.lapse_plain_endpoints()
        self.assertTrue(directory.is_usable(self.host.state, "s0"))
        self.assertTrue(directory.is_usable(self.host.state, "s1"))
        self.host.run(2.1)
        self.assertFalse(directory.is_usable(self.host.state, "s0"))

    def test_a_lapsed_endpoint_that_is_listed_again_stays(self) -> None:
        self.lapse_plain_endpoints()
        self.host.run(1.0)
        self.host.read_list(plain("s0"))
        self.host.run(2.0)
        self.assertTrue(directory.is_usable(self.host.state, "s0"))
        self.assertFalse(directory.is_usable(self.host.state, "s1"))

    def test_a_lapsed_endpoint_that_says_it_leaves_is_removed_in_time(self) -> None:
        self.lapse_plain_endpoints()
        fields = {"endpoint": "s0", "sent_at": self.host.now}
        self.host.feed(_events.EndpointLeaving, **fields)
        self.host.run(2.1)
        self.assertIsNone(directory.endpoint(self.host.state, "s0"))

    def test_a_leaving_endpoint_is_removed_at_once(self) -> None:
        self.host.read_list(plain("s0", leaving=True))
        self.host.drop("s0")
        self.assertIsNone(directory.endpoint(self.host.state, "s0"))

    def test_a_single_missing_endpoint_is_removed_at_once(self) -> None:
        """A single missing endpoint has left, and must not be used.

        An outage of the list's source makes most entries lapse; here only this host was cut off.
        Found by the fault search (DRAIN).
        """
        self.host.drop("s0")
        self.assertIsNone(directory.endpoint(self.host.state, "s0"))
        self.assertTrue(directory.is_usable(self.host.state, "s1"))

    def test_entries_missing_without_an_outage_are_removed_at_once(self) -> None:
        self.host.run(3.0)
        self.lapse_plain_endpoints()
        self.assertFalse(directory.is_usable(self.host.state, "s0"))
        self.assertFalse(directory.is_usable(self.host.state, "s1"))
