"""Messages between hosts about the limits of customers' plans."""

from ._base import Base, Owner


class LimitAsk(Base):
    """Asks the host that keeps a customer's budget to admit requests.

    Args:
        customer: Name of the customer.
        owner: The asking host's process.
        requests: Number of requests that wait there.
        tokens: Prompt and output tokens of these requests.
        in_flight: Number of the customer's requests that the host already serves.
        refund: Tokens that were charged earlier and not used.
    """

    customer: str
    owner: Owner
    requests: int
    tokens: int
    in_flight: int = 0
    refund: int = 0


class LimitGiven(Base):
    """Answers `LimitAsk`: ``requests`` are admitted; the others may ask again in ``wait`` seconds.

    ``share`` is the fraction of the customer's recent requests that came from the asking host.
    """

    customer: str
    requests: int
    wait: float = 0.0
    share: float = 0.0


class LimitReport(Base):
    """Reports a host's requests in flight to the coordinator of customers' budgets.

    ``entries`` lists (customer, requests in flight, tokens to refund).
    """

    owner: Owner
    entries: tuple[tuple[str, int, int], ...] = ()
