"""Probe of an idle entry host: the memory of the process before it has any role."""

import pathlib
import subprocess
import sys
import tempfile
import time

from .fit import Line
from .probe import probe

SAMPLE_AGES_S = (1.0, 2.0, 3.0, 4.0)  # Ages of the process at which its memory is sampled.
SETTINGS = """
host: entry-000
zone: zone-a
region: region-1
platform: {log: "http://127.0.0.1:9", hosts: "http://127.0.0.1:9"}
"""


@probe("process")
def process() -> list[Line]:
    """Measure the resident memory of an idle host at several times after its start."""
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "settings.yaml"
        settings.write_text(SETTINGS)
        command = [sys.executable, "-m", "wasabiwick", "run", "--settings", str(settings)]
        child = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        try:
            points = _sample_memory(child)
        finally:
            child.terminate()
            child.wait()
    return [Line(name="memory of an idle process", x_unit="s of age", y_unit="MB", points=points)]


def _sample_memory(child: subprocess.Popen) -> list[tuple[float, float]]:
    start_time = time.monotonic()
    points = []
    for age in SAMPLE_AGES_S:
        time.sleep(max(0.0, start_time + age - time.monotonic()))
        if child.poll() is not None:
            raise RuntimeError(f"the idle host ended early with status {child.returncode}")
        points.append((age, _resident_mb(child.pid)))
    return points


def _resident_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise RuntimeError(f"/proc/{pid}/status has no line VmRSS")
