"""Tests of the HTTP adapters against a server that sends exactly given bytes."""

import unittest

import aiohttp

from wasabiwick._adapters import HttpService
from wasabiwick._errors import Failure
from wasabiwick._ports import ServiceAnswer
from wasabiwick._settings import Timing
from wasabiwick._verdict import Verdict

from .test_http1 import COMPLETE, WITHOUT_LENGTH, Endpoint


class TestAnswerOfService(unittest.IsolatedAsyncioTestCase):
    """An answer of a plain service that was broken off is a failure that may have run."""

    async def call(self, answer: bytes, then: str) -> ServiceAnswer | Failure:
        async with Endpoint(answer, then) as endpoint, aiohttp.ClientSession() as session:
            return await HttpService(session=session, timing=Timing()).call(
                f"http://{endpoint.address}",
                method="POST",
                path="/join",
                body=b"member",
                content_type="text/plain",
                key="k",
                fence=-1,
                timeout=5.0,
            )

    async def test_whole_answers(self) -> None:
        for answer, then in ((COMPLETE, "keep"), (COMPLETE, "close"), (WITHOUT_LENGTH, "close")):
            with self.subTest(answer=answer, then=then):
                self.assertEqual((await self.call(answer, then)).body, "ok")

    async def test_status_that_http_does_not_know_is_no_answer(self) -> None:
        """A status 000 was passed on as an answer."""
        for status in (b"000", b"099", b"600"):
            with self.subTest(status):
                failure = await self.call(COMPLETE.replace(b"200", status), "keep")
                self.assertIsInstance(failure, Failure)
                self.assertIs(failure.verdict, Verdict.MAY_HAVE_RUN)

    async def test_answer_without_length_is_incomplete_after_a_reset(self) -> None:
        """The client library took the reset for the end of the answer."""
        failure = await self.call(WITHOUT_LENGTH, "reset")
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.verdict, Verdict.MAY_HAVE_RUN)

    async def test_answer_within_its_length_is_incomplete(self) -> None:
        failure = await self.call(COMPLETE[:-1], "close")
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.verdict, Verdict.MAY_HAVE_RUN)
