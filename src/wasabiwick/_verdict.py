"""Whether a request that failed may have run."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    ``NOT_RUN`` is certain: it is used only where no endpoint can have run the request, and none can
    run it later.
    """

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"
