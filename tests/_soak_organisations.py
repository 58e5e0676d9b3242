"""Organisations of a soak: the keys and limits of each version, and the keys that callers name."""

import random
import typing

from ._soak_answers import MAX_TOKENS
from ._soak_callers import Plan
from ._soak_kinds import KEY_MARK, KINDS
from ._soak_record import Attempt, Change, now

STEADY = f"{KEY_MARK}-abbey-0"  # A key that is never taken away.
NAMES = ("abbey", "choir", "parish", "school")
LIMITED = "school"
PUBLIC = "quote-lookup"
PROMPT_TOKENS = 1460
PLAIN_TOKENS = 500
RATES = (3, 5)  # Requests a second, or as many plain requests' tokens.
# The bounds that hosts read from their settings file; the slack as a number of plain requests.
WINDOW_S = 8.0
OVERSHOOT = 0.1
SLACK = 8
UNKNOWN_SHARE = 0.04
KEYLESS_SHARE = 0.04
OLD_SHARE = 0.06
FORGED_SHARE = 0.05
LIMITED_SHARE = 0.15
CHANGE_SHARE = 0.25  # Versions that change the limit; the others change a key.


class Version(typing.NamedTuple):
    """What a version says of organisations: the holder of each key, and the limit's rate."""

    change: Change
    holders: dict[str, str]
    rate: float


class Organisations:
    """Organisations of the operator, one of which has a limit.

    Args:
        seed: Seed of all choices.

    Attributes:
        versions: What each version said, in their order.
        counts_tokens: Whether the limit counts tokens.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"organisations {seed}")
        self._serial = 0
        self.counts_tokens = self._rng.random() < 0.5
        holders = {f"{KEY_MARK}-{name}-{number}": name for name in NAMES for number in range(2)}
        first = Change(version=7, added="", dropped="", sent=now())
        first.acked = first.sent
        self.versions = [Version(first, holders, RATES[0])]

    @property
    def unit(self) -> int:
        """What a plain request is counted as."""
        return PLAIN_TOKENS if self.counts_tokens else 1

    def cost(self, attempt: Attempt) -> int:
        """Return what a request is counted as."""
        if self.counts_tokens and KINDS[attempt.kind].is_stream:
            return PROMPT_TOKENS + MAX_TOKENS
        return self.unit

    def most(self, rate: float) -> float:
        """Return how much of the limited organisation may run within `WINDOW_S`."""
        return ((rate * WINDOW_S + rate) * (1 + OVERSHOOT) + SLACK) * self.unit

    def bounds(self) -> str:
        """Return the lines of the hosts' settings file."""
        slack = SLACK * self.unit
        return (
            f"quota-window-s = {WINDOW_S}\nquota-overshoot = {OVERSHOOT}\nquota-slack = {slack}\n"
        )

    def change(self, change: Change) -> None:
        """Take a key away, add one, hand one to another organisation, or change the limit."""
        rng, (_, holders, rate) = self._rng, self.versions[-1]
        holders = dict(holders)
        if rng.random() < CHANGE_SHARE:
            rate = RATES[0] + RATES[1] - rate
        else:
            name = rng.choice(NAMES)
            held = [key for key, holder in holders.items() if holder == name and key != STEADY]
            if len(held) < 2:
                self._serial += 1
                holders[f"{KEY_MARK}-{name}-new{self._serial}"] = name
            elif rng.random() < 0.3:
                holders[rng.choice(held)] = rng.choice([one for one in NAMES if one != name])
            else:
                del holders[rng.choice(held)]
        self.versions.append(Version(change, holders, rate))

    def add_to(self, config: dict[str, typing.Any]) -> None:
        """Write the newest version's organisations into a configuration."""
        _, holders, rate = self.versions[-1]
        config["tenants"] = [
            {"name": name, "api-keys": [key for key, holder in holders.items() if holder == name]}
            for name in NAMES
        ]
        limit = {"rate-per-s": rate * self.unit, "burst": rate * self.unit}
        if self.counts_tokens:
            limit |= {"unit": "token_stream", "plain-tokens": PLAIN_TOKENS}
        config["tenants"][NAMES.index(LIMITED)] |= limit
        for route in config["routes"]:
            route["public"] = route["name"] == PUBLIC or route["name"].startswith("probe")

    def limited_key(self) -> str:
        """Return a key of the limited organisation."""
        return self._rng.choice(self._held(lambda name: name == LIMITED))

    def _held(self, matches: typing.Callable[[str], bool]) -> list[str]:
        return [key for key, name in self.versions[-1].holders.items() if matches(name)]

    def sign(self, plan: Plan) -> Plan:
        """Return a plan with a key, and perhaps with a forged name of an organisation."""
        rng = self._rng
        claims = rng.choice(NAMES) if rng.random() < FORGED_SHARE else ""
        return plan._replace(key=self._key() if plan.key is None else plan.key, claims=claims)

    def _key(self) -> str:
        rng, draw = self._rng, self._rng.random()
        if draw < UNKNOWN_SHARE:
            return f"{KEY_MARK}-none-{rng.randrange(10**6)}"
        if draw < UNKNOWN_SHARE + KEYLESS_SHARE:
            return ""
        held = self.versions[-1].holders
        old = sorted({key for one in self.versions for key in one.holders} - set(held))
        if old and draw < UNKNOWN_SHARE + KEYLESS_SHARE + OLD_SHARE:
            return rng.choice(old)
        if rng.random() < LIMITED_SHARE:
            return self.limited_key()
        return rng.choice(self._held(lambda name: name != LIMITED))
