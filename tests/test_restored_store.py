"""Tests of hosts whose store comes back from a copy that is some seconds old."""

from wasabiwick._handlers import directory, routes

from ._platform import TOPIC_PREFIX, config
from ._processes import until
from .test_on_platform import SiteTest

SERVERS = TOPIC_PREFIX + "servers"


class TestRestoredStore(SiteTest):
    """A host follows the restored store, and forgets nothing that goes before its copy."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.site.wait_for_feeds()
        self.store = self.site.store

    async def write(self, name: str, **fields: object) -> None:
        """Let an endpoint write its entry."""
        await self.store.put(SERVERS, name, self.site.endpoints[name].entry(**fields))

    async def has_read_all(self) -> bool:
        """Return whether the host knows the newest entry."""
        offsets = self.site.state["directory"].offsets.values()
        return max(offsets) == len(self.store.topics[SERVERS]) - 1

    def is_usable(self, name: str) -> bool:
        """Return whether an endpoint gets new work."""
        return directory.is_usable(self.site.state, name)

    async def becomes_usable(self, name: str, usable: bool) -> None:
        """Wait until an endpoint gets new work, or gets none."""

        async def reached() -> bool:
            return self.is_usable(name) is usable

        await until(reached)

    async def test_entry_at_an_offset_below_the_known_ones_is_read(self) -> None:
        self.store.copy()
        for sequence in range(6):
            await self.write("s0", sequence=sequence)
        await until(self.has_read_all)
        await self.store.restore()
        await self.write("s0", state="draining")
        await self.becomes_usable("s0", False)

    async def test_entry_at_an_offset_that_was_given_out_before_is_read(self) -> None:
        self.store.copy()
        await self.write("s1", sequence=2)
        await until(self.has_read_all)
        await self.store.restore()
        await self.write("s0", state="draining")
        await self.becomes_usable("s0", False)

    async def test_endpoint_that_was_read_to_leave_gets_no_work_again(self) -> None:
        self.store.copy()
        await self.write("s0", state="draining")
        await self.becomes_usable("s0", False)
        await self.store.restore()
        await self.write("s1", slots=7)

        async def has_read_restored() -> bool:
            return directory.endpoint(self.site.state, "s1").slots == 7

        await until(has_read_restored)
        self.assertFalse(self.is_usable("s0"))

    async def test_configuration_in_force_never_reverts(self) -> None:
        self.store.copy()
        await self.store.put(TOPIC_PREFIX + "op", "config", config(5))

        async def has_version() -> bool:
            return routes.version(self.site.state) == 5

        await until(has_version)
        await self.store.restore()
        await self.store.put(TOPIC_PREFIX + "op", "config", config(3))
        await self.write("s1", slots=7)

        async def has_read_restored() -> bool:
            return directory.endpoint(self.site.state, "s1").slots == 7

        await until(has_read_restored)
        self.assertTrue(await has_version())

    async def test_host_registers_again(self) -> None:
        hosts = TOPIC_PREFIX + "hosts"
        self.store.copy()
        self.store._copy.pop(hosts, None)
        await self.store.restore()

        async def is_registered() -> bool:
            return any(key == "host-a" for key, _ in self.store.topics.get(hosts, ()))

        await until(is_registered)

    async def test_fencing_numbers_rise_over_a_restore(self) -> None:
        register = self.site.daemon.runner.ports.register
        self.store.copy()
        first = await register.claim("a", 0)
        second = await register.claim("b", 1)
        await self.store.restore()
        await self.site.status_of("/safe/x")
        third = await register.claim("c", 0)
        self.assertLess(first, second)
        self.assertLess(second, third)
