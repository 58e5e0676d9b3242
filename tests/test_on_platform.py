"""Tests of a whole host on stand-ins of the platform's store and endpoints."""

import asyncio
import contextlib
import pathlib
import tempfile
import typing
import unittest

import aiohttp

from wasabiwick import platform
from wasabiwick._forward_daemon import ForwardDaemon
from wasabiwick._handlers import directory, routes

from ._platform import APP, TOPIC_PREFIX, Endpoint, Store, config, serving
from ._processes import until

SETTINGS = """
node-name = "{name}"
role = "entry"
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
internal-ports = [0, 0]
unknown-field = "ignored"
[listen]
frontend = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[platform]
address = "{store}"
[bounds]
grace-s = 8
retry-budget-ratio = 0.2
budget-slack = 52
"""
TOKENS = {"X-Wasabiwick-Token-Count": "100,60", "X-Wasabiwick-Model": "m"}


class Site:
    """A store, four endpoints and one host.

    Attributes:
        store: The store.
        endpoints: Endpoints by name.
        daemon: The host.
        path: Its settings file.
    """

    def __init__(self) -> None:
        self.store = Store()
        self.endpoints = {
            name: Endpoint(name, stage)
            for name, stage in (("p0", "prefill"), ("d0", "decode"), ("d1", "decode"))
        }
        self.endpoints |= {name: Endpoint(name) for name in ("s0", "s1")}
        self.daemon: ForwardDaemon | None = None
        self.path = ""
        self.session: aiohttp.ClientSession | None = None
        self._sent = 0

    @contextlib.asynccontextmanager
    async def run(self) -> typing.AsyncIterator["Site"]:
        """Run everything."""
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(serving(self.store.app()))
            for one in self.endpoints.values():
                one.address = await stack.enter_async_context(serving(one.app()))
                await self.store.put(TOPIC_PREFIX + "servers", one.name, one.entry())
            await self.store.put(TOPIC_PREFIX + "op", "config", config())
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.path = f"{folder}/boot.toml"
            self.rewrite(lambda text: SETTINGS.format(name="host-a", store=address))
            cfg = platform.load(self.path)
            around = platform.PlatformDeployment(self.path, cfg)
            self.daemon = ForwardDaemon(cfg=cfg, deployment=around)
            stack.push_async_callback(self.daemon.stop)
            await self.daemon.start()
            self.session = await stack.enter_async_context(aiohttp.ClientSession())
            yield self

    @property
    def state(self) -> typing.Any:
        """The host's state."""
        return self.daemon.runner.state

    def rewrite(self, change: typing.Callable[[str], str]) -> None:
        """Change the text of the settings file."""
        path = pathlib.Path(self.path)
        before = path.read_text(encoding="utf-8") if path.exists() else ""
        path.write_text(change(before), encoding="utf-8")

    async def settled(self) -> None:
        """Wait until the host knows routes and endpoints."""
        await until(self._knows_all)

    async def _knows_all(self) -> bool:
        return routes.is_known(self.state) and len(self.state["directory"].endpoints) >= 5

    def ask(
        self, path: str, method: str = "POST", body: bytes = b"body", **headers: str
    ) -> typing.Any:
        """Send a request as a caller does."""
        self._sent += 1
        sent = {
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"id{self._sent}",
            "X-Wasabiwick-Deadline-Ms": "5000",
            **(TOKENS if path.startswith("/stream/") else {}),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = aiohttp.client.URL(f"http://{self.daemon.callers}{path}", encoded=True)
        return self.session.request(method, url, data=body, headers=sent)

    async def ready(self) -> int:
        """Return the status of the question whether the host is ready."""
        async with self.session.get(f"http://{self.daemon.ready}/v1/readyz") as resp:
            return resp.status


class SiteTest(unittest.IsolatedAsyncioTestCase):
    """Runs a site for each test."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        await self.enterAsyncContext(self.site.run())

    def seen(self, name: str) -> list[tuple[str, typing.Mapping[str, str]]]:
        """Return what an endpoint has seen."""
        return self.site.endpoints[name].seen


class TestPlain(SiteTest):
    """Requests pass unchanged, and answers come back unchanged."""

    async def test_a_request_and_its_answer_are_untouched(self) -> None:
        await self.site.settled()
        async with self.site.ask("/unsafe/a%2Fb?c=%20d", X_Extra="e") as resp:
            self.assertEqual(resp.status, 200)
            self.assertEqual(await resp.read(), b"/unsafe/a%2Fb?c=%20d body")
            self.assertTrue(resp.headers["X-Wasabiwick-Response-Seal"].startswith("seal-s"))
        path, headers = (self.seen("s0") + self.seen("s1"))[0]
        self.assertEqual(headers["X-Extra"], "e")
        self.assertEqual(headers["Host"], "example")
        self.assertLessEqual(int(headers["X-Wasabiwick-Deadline-Ms"]), 5_000)
        self.assertIn(headers["X-Wasabiwick-Expect-Instance"], ("s0", "s1"))

    async def test_what_the_system_sets_is_not_the_callers_to_set(self) -> None:
        await self.site.settled()
        forged = {
            "X_Wasabiwick_Stage": "prefill",
            "X_Wasabiwick_Kv_Source": "x/y",
            "X_Wasabiwick_Kv_Hold": "z",
            "X_Wasabiwick_Pin_Ms": "9",
            "X_Wasabiwick_Kv_Backup": "b",
            "X_Wasabiwick_Expect_Instance": "other",
        }
        async with self.site.ask("/safe/x", "GET", b"", **forged) as resp:
            self.assertEqual(resp.status, 200)
        _, headers = (self.seen("s0") + self.seen("s1"))[0]
        for name in ("Stage", "Kv-Source", "Kv-Hold", "Pin-Ms", "Kv-Backup"):
            self.assertNotIn(f"X-Wasabiwick-{name}", headers)

    async def test_a_failure_of_a_safe_request_is_tried_elsewhere(self) -> None:
        await self.site.settled()
        self.site.endpoints["s0"].fails = self.site.endpoints["s1"].fails = 1
        async with self.site.ask("/safe/x", "GET", b"") as first:
            self.assertEqual(first.status, 500)
            self.assertTrue(first.headers["X-Wasabiwick-Response-Seal"])
        self.site.endpoints["s0"].fails = 1
        for _ in range(4):
            async with self.site.ask("/safe/x", "GET", b"") as resp:
                self.assertEqual(resp.status, 200)

    async def test_a_success_without_a_seal_is_no_answer(self) -> None:
        await self.site.settled()
        self.site.endpoints["s0"].bare = self.site.endpoints["s1"].bare = 1
        async with self.site.ask("/unsafe/x") as resp:
            self.assertEqual(resp.status, 502)
        async with self.site.ask("/safe/x", "GET", b"") as resp:
            self.assertEqual(resp.status, 200)
            self.assertTrue(resp.headers["X-Wasabiwick-Response-Seal"])

    async def test_an_address_that_belongs_to_another_runs_nothing(self) -> None:
        await self.site.settled()
        self.site.endpoints["s0"].name = "another"
        for _ in range(6):
            async with self.site.ask("/unsafe/x") as resp:
                self.assertEqual(resp.status, 200)
                self.assertEqual(resp.headers["X-Wasabiwick-Response-Seal"], "seal-s1")

    async def test_no_route_is_404_and_carries_no_seal(self) -> None:
        await self.site.settled()
        async with self.site.ask("/nowhere/x") as resp:
            self.assertEqual(resp.status, 404)
            self.assertNotIn("X-Wasabiwick-Response-Seal", resp.headers)

    async def test_a_refusal_says_when_to_come_back(self) -> None:
        await self.site.settled()
        for name in ("s0", "s1"):
            await self.site.store.put(TOPIC_PREFIX + "servers", name, None)
        await until(self._none_left)
        async with self.site.ask("/unsafe/x") as resp:
            self.assertEqual(resp.status, 503)
            self.assertGreater(float(resp.headers["Retry-After"]), 0)

    async def _none_left(self) -> bool:
        return not directory.usable(self.site.state, APP)


class TestStreams(SiteTest):
    """Generations: place, prefill, stream; and what becomes of them when something breaks."""

    async def test_the_whole_path(self) -> None:
        await self.site.settled()
        async with self.site.ask("/stream/x") as resp:
            body = await resp.read()
            self.assertEqual(resp.headers["Content-Type"], "text/event-stream")
        self.assertEqual(body.count(b"data: part"), 5)
        _, prefill = self.seen("p0")[0]
        self.assertEqual(prefill["X-Wasabiwick-Stage"], "prefill")
        _, decode = (self.seen("d0") + self.seen("d1"))[0]
        self.assertIn("handle-p0", decode["X-Wasabiwick-Kv-Source"])
        self.assertTrue(decode["X-Wasabiwick-Kv-Hold"])
        for one in self.site.endpoints.values():
            self.assertEqual(one.held, set())

    async def test_a_cut_stream_goes_on_without_a_gap(self) -> None:
        await self.site.settled()
        self.site.endpoints["d0"].cuts = self.site.endpoints["d1"].cuts = 1
        self.site.endpoints["d1"].cuts = 0
        bodies = []
        for _ in range(3):
            async with self.site.ask("/stream/x") as resp:
                bodies.append(await resp.read())
        for body in bodies:
            parts = [b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(1, 6)]
            self.assertEqual(body, b"".join(parts))
        self.assertEqual(self.site.endpoints["d0"].cuts, 0)

    async def test_a_prefill_that_is_never_answered_is_asked_for_again(self) -> None:
        await self.site.settled()
        self.site.endpoints["p0"].mute = 1
        async with self.site.ask("/stream/x") as resp:
            self.assertEqual((await resp.read()).count(b"data: part"), 5)
        self.assertEqual(len(self.seen("p0")), 2)

    async def test_a_caller_that_leaves_stops_the_engine(self) -> None:
        await self.site.settled()
        for name in ("d0", "d1"):
            self.site.endpoints[name].events = 1_000
            self.site.endpoints[name].pause = 0.01
        async with self.site.ask("/stream/x") as resp:
            await resp.content.readuntil(b"\n\n")
        await until(self._idle)
        self.assertEqual(self.site.state["forwarding"].calls, {})

    async def _idle(self) -> bool:
        engines = self.site.endpoints.values()
        return not any(one.working or one.held for one in engines)

    async def test_refused_decodes_are_repeated_elsewhere_and_free_their_place(self) -> None:
        await self.site.settled()
        self.site.endpoints["d0"].refuses = 1
        for _ in range(4):
            async with self.site.ask("/stream/x") as resp:
                self.assertEqual(resp.status, 200)
                await resp.read()
        await until(self._places_free)

    async def test_an_engine_that_changes_its_stage_is_left_alone_by_a_host_that_was_not_told(
        self,
    ) -> None:
        """Found on trouble-2: hosts that lost power forgot an order that was being carried out."""
        await self.site.settled()
        self.site.endpoints["d0"].changing = True
        for _ in range(4):
            async with self.site.ask("/stream/x") as resp:
                self.assertEqual(resp.status, 200)
                await resp.read()
            if directory.is_busy(self.site.state, "d0", self.site.daemon.runner.now()):
                break
        before = len(self.seen("p0"))
        for _ in range(4):
            async with self.site.ask("/stream/x") as resp:
                await resp.read()
        self.assertEqual(len(self.seen("p0")) - before, 4)  # None was prefilled for nothing.
        self.assertEqual(len(self.seen("d0")), 0)

    async def _places_free(self) -> bool:
        return self.site.state["places"].own == {}


class TestStoreTrouble(SiteTest):
    """The host goes on with what it last read, and catches up."""

    async def test_a_new_version_is_in_force_soon(self) -> None:
        await self.site.settled()
        await self.site.store.put(TOPIC_PREFIX + "op", "config", config(2))
        await until(self._has_version_2)

    async def _has_version_2(self) -> bool:
        return routes.version(self.site.state) == 2

    async def test_each_kind_of_refusal_is_survived(self) -> None:
        await self.site.settled()
        for trouble in ("busy", "many", "reset", "silent"):
            with self.subTest(trouble=trouble):
                self.site.store.trouble = trouble
                # A change that is written meanwhile is read once the store is back.
                version = routes.version(self.site.state) + 1
                await self.site.store.put(TOPIC_PREFIX + "op", "config", config(version))
                async with self.site.ask("/unsafe/x") as resp:
                    self.assertEqual(resp.status, 200)
                self.site.store.trouble = ""
                await until(lambda wanted=version: self._has(wanted))

    async def _has(self, version: int) -> bool:
        return routes.version(self.site.state) == version

    async def test_a_lost_history_is_read_anew(self) -> None:
        await self.site.settled()
        self.site.store.trouble = "busy"
        await self.site.store.put(TOPIC_PREFIX + "servers", "s0", None)
        await self.site.store.put(TOPIC_PREFIX + "servers", "s1", self.site.endpoints["s1"].entry())
        self.site.store.forget(TOPIC_PREFIX + "servers")
        self.site.store.trouble = ""
        await until(self._s0_gone)
        self.assertTrue(directory.is_usable(self.site.state, "s1"))

    async def _s0_gone(self) -> bool:
        return directory.endpoint(self.site.state, "s0") is None

    async def test_entries_of_other_writers_harm_no_others(self) -> None:
        await self.site.settled()
        entry = self.site.endpoints["s0"].entry
        bad = [b"\xff\x00", b"[]", {"service": 5}, entry(state="odd"), entry(address="no port")]
        for number, value in enumerate(bad):
            await self.site.store.put(TOPIC_PREFIX + "servers", f"bad{number}", value)
        await self.site.store.put(TOPIC_PREFIX + "servers", "s9", entry())
        await until(self._has_s9)
        names = set(self.site.state["directory"].endpoints)
        self.assertEqual(names, {"p0", "d0", "d1", "s0", "s1", "s9"})

    async def _has_s9(self) -> bool:
        return directory.is_usable(self.site.state, "s9")

    async def test_a_configuration_that_cannot_be_read_changes_nothing(self) -> None:
        await self.site.settled()
        await self.site.store.put(TOPIC_PREFIX + "op", "config", b"not json")
        await self.site.store.put(TOPIC_PREFIX + "op", "config", config(3))
        await until(lambda: self._has(3))

    async def test_a_leaving_endpoint_gets_nothing_more(self) -> None:
        await self.site.settled()
        leaving = self.site.endpoints["s0"].entry(state="draining")
        await self.site.store.put(TOPIC_PREFIX + "servers", "s0", leaving)
        await until(self._s0_leaving)
        before = len(self.seen("s0"))
        for _ in range(5):
            async with self.site.ask("/unsafe/x") as resp:
                self.assertEqual(resp.status, 200)
        self.assertEqual(len(self.seen("s0")), before)

    async def _s0_leaving(self) -> bool:
        return not directory.is_usable(self.site.state, "s0")


class TestRegister(SiteTest):
    """Hosts find each other in the store, and claims are taken one after the other."""

    async def test_the_host_is_entered(self) -> None:
        await until(self._entered)

    async def _entered(self) -> bool:
        return any(key == "host-a" for key, _ in self.site.store.topics.get("keyed.hosts", ()))

    async def test_a_claim_follows_the_last_one_only(self) -> None:
        register = self.site.daemon.runner.ports.register
        end, holder = await register.last_claim()
        self.assertEqual((end, holder), (0, ""))
        self.assertEqual(await register.claim("a", 0), 0)
        self.assertNotIsInstance(await register.claim("b", 0), int)
        self.assertEqual(await register.last_claim(), (1, "a"))

    async def test_a_claim_whose_answer_is_lost_is_not_taken_for_given(self) -> None:
        self.site.store.trouble = "lost"
        register = self.site.daemon.runner.ports.register
        self.assertNotIsInstance(await register.claim("a", 0), int)


class TestReadiness(SiteTest):
    """The host tells when it takes callers."""

    async def test_ready_once_routes_are_known_and_not_while_stopping(self) -> None:
        await self.site.settled()
        self.assertEqual(await self.site.ready(), 200)
        self.site.state.stopping = True
        self.assertEqual(await self.site.ready(), 503)

    async def test_a_stopping_host_serves_and_closes_connections(self) -> None:
        await self.site.settled()
        self.site.state.stopping = True
        self.site.state["host"].stop_by = asyncio.get_running_loop().time() + 100.0
        async with self.site.ask("/unsafe/x") as resp:
            self.assertEqual(resp.status, 200)
            self.assertEqual(resp.headers["Connection"], "close")


class TestSettings(SiteTest):
    """The settings file is read again; a bad one is told in one line."""

    async def test_a_changed_file_is_noticed(self) -> None:
        self.site.rewrite(lambda text: text.replace("budget-slack = 52", "budget-slack = 7"))
        await until(self._has_slack_7)

    async def _has_slack_7(self) -> bool:
        return self.site.state.cfg.forwarding.retry_slack == 7

    async def test_a_bad_file_leaves_the_old_settings(self) -> None:
        self.site.rewrite(lambda text: "node-name = 5\n")
        self.site.daemon.reload()
        self.assertEqual(self.site.state.cfg.forwarding.retry_slack, 52)

    def test_each_fault_is_one_line_that_names_the_field(self) -> None:
        good = SETTINGS.format(name="a", store="127.0.0.1:1")
        faults = {
            "node-name": good.replace('node-name = "a"', ""),
            "grace-s": good.replace("grace-s = 8", 'grace-s = "long"'),
            "frontend": good.replace('frontend = "127.0.0.1:0"', ""),
            "Invalid": "node-name = ",
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.toml"
            for word, text in faults.items():
                path.write_text(text, encoding="utf-8")
                with self.assertRaises(platform.SettingsError) as raised:
                    platform.load(str(path))
                self.assertIn(word, str(raised.exception))
                self.assertNotIn("\n", str(raised.exception))
            with self.assertRaises(platform.SettingsError):
                platform.load(str(path) + ".missing")
