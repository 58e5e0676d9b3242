"""Stand-in for the platform's weight store, whose read rate is limited."""

import asyncio
import typing

from aiohttp import web

from ._serve import Knobs, StandIn, json_response, knob, stand_in

CHUNK_S = 0.05  # Interval between updates of a read's progress.


class WeightKnobs(Knobs):
    """Sizes, rates and faults of the weight store."""

    size: knob(int, "Bytes of each model version.") = 50_000_000
    rate: knob(float, "Bytes per second, shared by all readers.") = 100_000_000.0


@stand_in("weight_store")
class WeightStore(StandIn):
    """Returns the size of a version; reading its data takes as long as the rate allows.

    No weights are sent: a stand-in engine needs only the time that loading takes.
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
        """Return the number of reads so far and of current readers."""
        return {"reads": self.reads, "readers": self.readers}

    async def _size(self, request: web.Request) -> web.Response:
        return json_response({"size": self.knobs.size, "rate": self.knobs.rate})

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        self.readers += 1
        left = float(self.knobs.size)
        try:
            while left > 0:
                await asyncio.sleep(CHUNK_S)
                left -= self.knobs.rate * CHUNK_S / self.readers
        finally:
            self.readers -= 1
        return json_response({"size": self.knobs.size})
