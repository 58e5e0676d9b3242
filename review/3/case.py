"""A planned stop loses requests in two ways, each tried with a deployment of its own."""

import pathlib
import sys

from review.lab import Lab, main

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from late import cuts_late_streams  # noqa: E402
from upload import loses_uploads  # noqa: E402


async def case(lab: Lab) -> bool:
    """Run both parts."""
    lab.record.note("part A: SIGTERM during an upload")
    has_lost = await loses_uploads(lab)
    lab.record.note("part B: SIGTERM, and streams that are sent later")
    async with lab.another() as second:
        has_cut = await cuts_late_streams(second)
    lab.record.note(f"part A broke the rule: {has_lost}; part B broke the rule: {has_cut}")
    return has_lost or has_cut


main(__file__, case)
