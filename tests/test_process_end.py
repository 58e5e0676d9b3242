"""Tests that a host's process ends as soon as it has stopped, within the platform's grace."""

import asyncio
import subprocess
import sys
import unittest
from unittest import mock

from wasabiwick._forward_daemon import ForwardDaemon

from ._forward import make_settings
from ._processes import START_TIMEOUT, STOP_TIMEOUT

# A host that has served, with what an interpreter does when it is taken apart.
ENDING = """
import atexit, sys
from wasabiwick import _cli_run, _logging
_logging.configure("INFO", _logging.bounded_sink())
atexit.register(lambda: sys.stderr.write("taken apart"))
_cli_run._run_or_exit(lambda: _logging.log_event("{event}"){error})
"""


class TestEndOfProcess(unittest.TestCase):
    """Nothing is done after the last step of a stop but to write the log lines that wait.

    Taking the interpreter apart took so long on small hosts that the platform killed processes
    that had stopped.
    """

    def end(self, error: str = "") -> subprocess.CompletedProcess:
        """Run a host's process to its end."""
        code = ENDING.format(event="stopped", error=error)
        args = [sys.executable, "-c", code]
        return subprocess.run(
            args, capture_output=True, text=True, check=False, timeout=START_TIMEOUT
        )

    def test_a_process_that_has_stopped_is_not_taken_apart(self) -> None:
        ended = self.end()
        self.assertEqual((ended.returncode, ended.stderr), (0, ""))
        self.assertIn("event=stopped", ended.stdout)

    def test_a_process_that_failed_to_start_says_so(self) -> None:
        ended = self.end(" or [].pop()")
        self.assertEqual(ended.returncode, 1)
        self.assertIn("event=crashed", ended.stdout)


class TestListenersClose(unittest.IsolatedAsyncioTestCase):
    """Listeners with connections that don't close wait side by side, not one after the other."""

    async def test_all_listeners_close_at_the_same_time(self) -> None:
        daemon = ForwardDaemon(cfg=make_settings(), deployment=mock.Mock(close=mock.AsyncMock()))
        both = asyncio.Barrier(2)
        servers = [mock.Mock(cleanup=both.wait) for _ in range(2)]
        daemon._servers.extend(servers)  # noqa: SLF001 - as if the host had started
        async with asyncio.timeout(STOP_TIMEOUT):
            await daemon.stop()
        self.assertEqual(both.n_waiting, 0)
