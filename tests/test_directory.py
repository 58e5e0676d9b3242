"""Tests of the endpoint directory: order of entries, whole lists, and outages of the source."""

import unittest

from wasabiwick import _events
from wasabiwick._forwarding import Listing
from wasabiwick._handlers import directory

from ._forward import ENDPOINTS, Host, plain


class TestOrder(unittest.TestCase):
    """An entry that is read late does not replace a newer one."""

    def test_an_older_offset_is_ignored(self) -> None:
        host = Host()
        old = Listing(name="s0", offset=0, endpoint=plain("s0"))
        host.read_list(plain("s0", leaving=True))
        host.feed(_events.EndpointsRead, listings=(old,), upto=1)
        self.assertFalse(directory.is_usable(host.state, "s0"))

    def test_an_unreadable_entry_removes_only_its_own_endpoint(self) -> None:
        host = Host()
        host.drop("s0")
        self.assertFalse(directory.is_usable(host.state, "s0"))
        self.assertTrue(directory.is_usable(host.state, "s1"))


class TestWholeList(unittest.TestCase):
    """The whole list is read again once the history between two reads is no longer available."""

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


class TestOutage(unittest.TestCase):
    """Entries that lapse in an outage are kept until live endpoints had time to list themselves.

    Otherwise a service would have no endpoints right after an outage of the list's source, though
    all of them are running.
    """

    def setUp(self) -> None:
        self.host = Host()
        self.host.feed(_events.FeedChanged, feed="endpoints", up=False, why="no answer")
        self.host.run(4.0)
        self.host.feed(_events.FeedChanged, feed="endpoints", up=True)

    def lapse(self) -> None:
        """Read a whole list without both endpoints of the plain service."""
        self.host.read_list(*(one for one in ENDPOINTS if one.service != "sign-up"), whole=True)

    def test_lapsed_entries_are_used_for_a_while(self) -> None:
        self.lapse()
        self.assertTrue(directory.is_usable(self.host.state, "s0"))
        self.assertTrue(directory.is_usable(self.host.state, "s1"))
        self.host.run(2.1)
        self.assertFalse(directory.is_usable(self.host.state, "s0"))

    def test_a_lapsed_endpoint_that_is_listed_again_stays(self) -> None:
        self.lapse()
        self.host.run(1.0)
        self.host.read_list(plain("s0"))
        self.host.run(2.0)
        self.assertTrue(directory.is_usable(self.host.state, "s0"))
        self.assertFalse(directory.is_usable(self.host.state, "s1"))

    def test_a_leaving_endpoint_is_removed_at_once(self) -> None:
        self.host.read_list(plain("s0", leaving=True))
        self.host.drop("s0")
        self.assertIsNone(directory.endpoint(self.host.state, "s0"))

    def test_a_single_missing_endpoint_is_removed_at_once(self) -> None:
        """A host that alone was cut off must not use an endpoint that left meanwhile.

        Found by the fault search (DRAIN).
        """
        self.host.drop("s0")
        self.assertIsNone(directory.endpoint(self.host.state, "s0"))
        self.assertTrue(directory.is_usable(self.host.state, "s1"))

    def test_entries_missing_without_an_outage_are_removed_at_once(self) -> None:
        self.host.run(3.0)
        self.lapse()
        self.assertFalse(directory.is_usable(self.host.state, "s0"))
        self.assertFalse(directory.is_usable(self.host.state, "s1"))
