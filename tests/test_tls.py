"""Tests of TLS: which peers are accepted, and certificates that change during connections."""

import asyncio
import logging
import pathlib
import ssl
import tempfile
import unittest

import aiohttp
import trustme
from aiohttp import web
from cryptography import x509
from loguru import logger

from wasabiwick import _adapters, _daemon, _schema, _settings, _settings_file, _tls, _wire
from wasabiwick._errors import Failure

ADDRESS = "127.0.0.1"


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Base with a certificate authority and a host's certificate files."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        logger.remove()
        # Refused handshakes are expected here; asyncio would print each.
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        self.addCleanup(logging.getLogger("asyncio").setLevel, logging.NOTSET)
        self.authority = trustme.CA()
        self.cfg = self.make_files("host", self.authority)

    def make_files(self, name: str, authority: trustme.CA) -> _settings.Tls:
        paths = [str(self.folder / f"{name}-{part}.pem") for part in ("cert", "key", "ca")]
        cfg = _settings.Tls(certificate=paths[0], key=paths[1], authority=paths[2])
        self.write_files(cfg, authority)
        return cfg

    def write_files(self, cfg: _settings.Tls, authority: trustme.CA) -> trustme.LeafCert:
        cert = authority.issue_cert(ADDRESS)
        cert.private_key_pem.write_to_path(cfg.key)
        cert.cert_chain_pems[0].write_to_path(cfg.certificate)
        authority.cert_pem.write_to_path(cfg.authority)
        return cert

    async def serve(self, ctx: ssl.SSLContext) -> str:
        """Serve ``/`` and ``/slow``, whose answer ends once ``may_continue`` is set."""

        async def slow(req: web.Request) -> web.StreamResponse:
            resp = web.StreamResponse()
            await resp.prepare(req)
            await resp.write(b"first ")
            await self.may_continue.wait()
            await resp.write(b"last")
            return resp

        async def root(req: web.Request) -> web.Response:
            return web.Response(text="root")

        app = web.Application()
        app.router.add_get("/slow", slow)
        app.router.add_get("/", root)
        self.may_continue = asyncio.Event()
        server = web.AppRunner(app)
        await server.setup()
        self.addAsyncCleanup(server.cleanup)
        await web.TCPSite(server, ADDRESS, 0, ssl_context=ctx).start()
        return f"https://{ADDRESS}:{server.addresses[0][1]}"

    def session(self) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        self.addAsyncCleanup(session.close)
        return session

    async def get(self, url: str, ctx: ssl.SSLContext) -> str:
        async with self.session().get(url, ssl=ctx) as resp:
            return await resp.text()

    async def serial(self, url: str) -> int:
        """Return the serial number of the certificate that new connections get."""
        address = (ADDRESS, int(url.rpartition(":")[2]))
        pem = await asyncio.to_thread(ssl.get_server_certificate, address)
        return x509.load_pem_x509_certificate(pem.encode()).serial_number

    def key(self) -> bytes:
        return pathlib.Path(self.cfg.key).read_bytes()

    def replace_key(self, data: bytes) -> None:
        pathlib.Path(self.cfg.key).write_bytes(data)


class TestReload(TlsTest):
    """A changed certificate is used for new connections and does not close open ones."""

    async def test_open_stream_goes_on_and_new_connection_sees_new_certificate(self) -> None:
        files = _tls.TlsFiles(self.cfg)
        url = await self.serve(files.callers)
        before = await self.serial(url)
        async with self.session().get(url + "/slow", ssl=False) as resp:
            self.assertEqual(await resp.content.readany(), b"first ")
            self.write_files(self.cfg, self.authority)
            self.assertTrue(files.refresh())
            self.assertNotEqual(await self.serial(url), before)
            self.may_continue.set()
            self.assertEqual(await resp.read(), b"last")
        self.assertFalse(files.refresh())

    async def test_partly_replaced_files_are_not_used(self) -> None:
        """While files are replaced, the certificate and the key may not belong together."""
        files = _tls.TlsFiles(self.cfg)
        url = await self.serve(files.callers)
        before = await self.serial(url)
        old_key = self.key()
        self.write_files(self.cfg, self.authority)
        new_key = self.key()
        self.replace_key(old_key)
        self.assertFalse(files.refresh())
        self.assertEqual(await self.serial(url), before)
        self.replace_key(new_key)
        self.assertTrue(files.refresh())
        self.assertNotEqual(await self.serial(url), before)

    async def test_emptied_key_file_is_not_used(self) -> None:
        files = _tls.TlsFiles(self.cfg)
        self.replace_key(b"")
        self.assertFalse(files.refresh())
        url = await self.serve(files.callers)
        self.assertEqual(await self.get(url, files.client), "root")


class TestMutual(TlsTest):
    """Hosts accept only peers whose certificate the current authority signed."""

    async def test_peer_of_same_authority_is_accepted(self) -> None:
        files = _tls.TlsFiles(self.cfg)
        url = await self.serve(files.peers)
        self.assertEqual(await self.get(url, files.client), "root")

    async def test_peer_without_or_with_a_foreign_certificate_is_refused(self) -> None:
        files = _tls.TlsFiles(self.cfg)
        url = await self.serve(files.peers)
        without_cert = ssl.create_default_context(cafile=self.cfg.authority)
        foreign = _tls.client_context(self.make_files("foreign", trustme.CA()))
        foreign.load_verify_locations(cafile=self.cfg.authority)
        for ctx in (without_cert, foreign):
            with self.assertRaises(aiohttp.ClientError):
                await self.get(url, ctx)

    async def test_certificate_of_a_replaced_authority_is_refused(self) -> None:
        files = _tls.TlsFiles(self.cfg)
        url = await self.serve(files.peers)
        old = files.client
        self.write_files(self.cfg, trustme.CA())
        self.assertTrue(files.refresh())
        old.load_verify_locations(cafile=self.cfg.authority)
        with self.assertRaises(aiohttp.ClientError):
            await self.get(url, old)
        self.assertEqual(await self.get(url, files.client), "root")


class TestDaemon(TlsTest):
    """A daemon with TLS settings uses TLS on both of its listeners."""

    async def test_both_listeners_use_tls_and_peers_need_a_certificate(self) -> None:
        cfg = _settings.Settings(
            host="a",
            zone="z",
            region="r",
            platform=_settings.Platform(log="http://127.0.0.1:1", hosts="http://127.0.0.1:1"),
            tls=self.cfg,
        )
        daemon = _daemon.Daemon(cfg=cfg)
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        trusting = ssl.create_default_context(cafile=self.cfg.authority)
        self.assertEqual(await self.get(daemon.callers_url + "/healthz", trusting), "ok\n")
        with self.assertRaises(aiohttp.ClientError):
            await self.get(daemon.peers_url + "/status", trusting)
        envelope = _wire.Envelope(
            sender=_wire.Owner(host="b", incarnation="1"), zone="z", messages=()
        )
        for cfg, accepted in ((self.make_files("b", self.authority), True), (None, False)):
            files = _tls.TlsFiles(cfg) if cfg else None
            peer = _adapters.HttpPeer(session=self.session(), timing=_settings.Timing(), tls=files)
            found = await peer.send(daemon.peers_url, envelope)
            self.assertEqual(not isinstance(found, Failure), accepted)


class TestCheck(TlsTest):
    """The settings check reads the certificate files."""

    def faults(self) -> list[str]:
        text = (
            "host: a\nzone: z\nregion: r\nplatform: {log: http://h, hosts: http://h}\n"
            f"tls:\n  certificate: {self.cfg.certificate}\n  key: {self.cfg.key}\n"
            f"  authority: {self.cfg.authority}\n"
        )
        found = _schema.read_yaml(text, _settings.Settings)
        return [str(fault) for fault in found] if isinstance(found, list) else []

    def test_valid_files_have_no_faults(self) -> None:
        self.assertTrue(_settings_file)
        self.assertEqual(self.faults(), [])

    def test_key_of_another_certificate_and_empty_authority_are_reported(self) -> None:
        other = self.make_files("other", self.authority)
        self.replace_key(pathlib.Path(other.key).read_bytes())
        pathlib.Path(self.cfg.authority).write_text("")
        first, second = self.faults()
        self.assertIn("line 6: tls.certificate: can't be used with the key", first)
        self.assertIn("line 8: tls.authority: holds no certificates", second)
