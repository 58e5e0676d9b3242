"""Base of tests with two hosts before one site."""

import unittest

from ._processes import until
from .test_on_platform import Site


class TwoHostsTest(unittest.IsolatedAsyncioTestCase):
    """Starts two hosts, and waits until they know all endpoints and each other.

    Attributes:
        site: The store, the endpoints and the first host.
        hosts: The two hosts.
        sent: Number of requests sent, by which each has an identifier of its own.
    """

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.prepare(self.site)
        await self.enterAsyncContext(self.site.run())
        self.hosts = [self.site.daemon, await self.site.start_daemon("host-b")]
        self.addAsyncCleanup(self.hosts[1].stop)
        self.sent = 0
        await until(self._has_started)

    def prepare(self, site: Site) -> None:
        """Change the site before it starts."""

    async def _has_started(self) -> bool:
        return all(
            len(host.runner.state["directory"].endpoints) == len(self.site.endpoints)
            and host.runner.state["neighbours"].hosts
            for host in self.hosts
        )

    async def settle(self) -> None:
        """Wait until the hosts have examined engines, and have heard each other again."""

        async def has_examined() -> bool:
            names = [name for host in self.hosts for name in host.runner.tasks]
            return not any(name.startswith("crash/") for name in names)

        await until(has_examined)
        first, second = (host.runner.state["neighbours"] for host in self.hosts)
        goals = first.sequence + 1, second.sequence + 1

        async def have_heard() -> bool:
            heard = second.hosts["host-a"].sequence, first.hosts["host-b"].sequence
            return heard[0] >= goals[0] and heard[1] >= goals[1]

        await until(have_heard)
