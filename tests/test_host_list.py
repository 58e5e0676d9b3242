"""Tests of the adapter that reads the host list by HTTP."""

import unittest

import aiohttp
import msgspec
from aiohttp import web

from wasabiwick._adapters import HttpHostList
from wasabiwick._errors import Failure
from wasabiwick._settings import Timing
from wasabiwick._wire import HostEntry

ENTRY = HostEntry(name="a", kind="entry", zone="z", address="http://a")


class TestHostList(unittest.IsolatedAsyncioTestCase):
    """An unchanged list is not sent again, and a malformed one is returned as a `Failure`."""

    async def asyncSetUp(self) -> None:  # noqa: N802 - named by unittest
        self.entries = [ENTRY]
        self.sends_etag = True
        self.malformed = False
        self.bodies_sent = 0
        app = web.Application()
        app.router.add_get("/hosts", self.answer)
        self.server = web.AppRunner(app)
        await self.server.setup()
        await web.TCPSite(self.server, "127.0.0.1", 0).start()
        self.session = aiohttp.ClientSession()
        address = f"http://127.0.0.1:{self.server.addresses[0][1]}"
        self.adapter = HttpHostList(session=self.session, address=address, timing=Timing())

    async def asyncTearDown(self) -> None:  # noqa: N802 - named by unittest
        await self.session.close()
        await self.server.cleanup()

    async def answer(self, request: web.Request) -> web.Response:
        if self.malformed:
            return web.Response(body=b"[{]")
        body = msgspec.json.encode(self.entries)
        tag = f'"{len(self.entries)}"'
        if self.sends_etag and request.headers.get("If-None-Match") == tag:
            return web.Response(status=304)
        self.bodies_sent += 1
        return web.Response(body=body, headers={"ETag": tag} if self.sends_etag else {})

    async def test_unchanged_list_is_not_sent_again(self) -> None:
        for _ in range(3):
            self.assertEqual(await self.adapter.entries(), (ENTRY,))
        self.assertEqual(self.bodies_sent, 1)
        self.entries.append(ENTRY)
        self.assertEqual(await self.adapter.entries(), (ENTRY, ENTRY))

    async def test_list_without_an_etag_is_sent_each_time(self) -> None:
        self.sends_etag = False
        for _ in range(3):
            self.assertEqual(await self.adapter.entries(), (ENTRY,))
        self.assertEqual(self.bodies_sent, 3)

    async def test_malformed_list_is_a_failure(self) -> None:
        self.malformed = True
        self.assertIsInstance(await self.adapter.entries(), Failure)
