"""Stand-in for the platform's weight store, whose rate is limited."""

import asyncio
import typing

from aiohttp import web

from ._serve import Knobs, StandIn, answer, knob, stand_in

CHUNK_SECONDS = 0.05


class WeightKnobs(Knobs):
    """Sizes, rates and faults of the weight store."""

    size: knob(int, "Bytes of each model version.") = 50_000_000
    rate: knob(float, "Bytes per second, over all readers.") = 100_000_000.0


@stand_in("weight_store")
class WeightStore(StandIn):
    """Answers with a version's size; reading its data takes the time that the rate gives.

    No weights are sent: an engine stand-in needs only the time that loading them takes.
    """

    knobs_type = WeightKnobs

    def __init__(self, *, name: str, knobs: WeightKnobs) -> None:
        super().__init__(name=name, knobs=knobs)
        self.reads = 0
        self.readers = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of sizes and reads."""
        return [
            web.get("/weights/{model}/{version}", self._size),
            web.get("/weights/{model}/{version}/data", self._read),
        ]

    def state(self) -> dict[str, typing.Any]:
        """Return counts of reads."""
        return {"reads": self.reads, "readers": self.readers}

    async def _size(self, request: web.Request) -> web.Response:
        return answer({"size": self.knobs.size, "rate": self.knobs.rate})

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        self.readers += 1
        left = float(self.knobs.size)
        try:
            while left > 0:
                await asyncio.sleep(CHUNK_SECONDS)
                left -= self.knobs.rate * CHUNK_SECONDS / self.readers
        finally:
            self.readers -= 1
        return answer({"size": self.knobs.size})
