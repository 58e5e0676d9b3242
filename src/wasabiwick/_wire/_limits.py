"""Between hosts: limits of the plans."""

from ._base import Base, Owner


class LimitAsk(Base):
    """Asks the host that keeps a customer's budget to let requests in.

    Args:
        customer: Name of the customer.
        owner: The asking run of a host.
        requests: Requests that wait there.
        tokens: Prompt and output tokens of all of them.
        in_flight: Requests of the customer that the host serves already.
        refund: Tokens charged before and not used.
    """

    customer: str
    owner: Owner
    requests: int
    tokens: int
    in_flight: int = 0
    refund: int = 0


class LimitGiven(Base):
    """Answers `LimitAsk`: so many requests may go on; the others may ask in ``wait`` seconds.

    ``share`` is the part of the customer's requests that lately came from the asking host.
    """

    customer: str
    requests: int
    wait: float = 0.0
    share: float = 0.0


class LimitReport(Base):
    """Tells the coordinator of budgets what a host has in flight: (customer, requests, refund)."""

    owner: Owner
    entries: tuple[tuple[str, int, int], ...] = ()
