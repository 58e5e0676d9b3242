"""A configuration moves the routes away from a service: requests are never answered."""

import asyncio

from review.lab import MODEL, STREAM_HEADERS, Answer, Lab, configuration, main

NEW_MODEL = "nuvo44d"
RUNNING = 12  # Streams that fill the decode engine's slots.
WAITING = 12
PIECES = 80  # Events of a stream, one in 0.1 s.
JOINS = 60
TIMEOUTS_S = {"guide-draft": 10.0, "group-join": 0.8}  # The routes' `timeout-ms`.
DRAFT = {**STREAM_HEADERS, "X_Wasabiwick_Length_Hint": "480"}
DEADLINES_S = {"guide-draft": 14.0, "group-join": 1.5}  # For which clients wait.
SLACK_S = 0.5  # CONFIG: no final answer half a second after `timeout-ms`.


async def send(lab: Lab, route: str, **headers: str) -> tuple[Answer, float]:
    """Send a request; returns its answer and the seconds until then."""
    began = lab.record.now()
    seconds = DEADLINES_S[route]
    answer = await lab.call(
        lab.hosts[0], f"/{route}/x", deadline_ms=int(seconds * 1000), seconds=seconds, **headers
    )
    return answer, lab.record.now() - began


def base_configuration() -> dict[str, object]:
    """Return the configuration, with a time-out that ends before clients give up."""
    config = configuration()
    for one in config["routes"]:
        if one["name"] == "guide-draft":
            one["timeout-ms"] = 1000 * TIMEOUTS_S["guide-draft"]
    return config


async def case(lab: Lab) -> bool:
    """Run the case."""
    await lab.configure(base_configuration())
    await lab.usual(hosts=1, decoders=1)
    lab.engines["i-d1"].pieces = lambda req: PIECES
    # One of the application's two servers is full, so its requests go to the other one.
    lab.engines["i-s1"].is_full = lambda req: "group-join" in req.target
    running = [asyncio.create_task(send(lab, "guide-draft", **DRAFT)) for _ in range(RUNNING)]
    await asyncio.sleep(1.0)
    waiting = []
    for _ in range(WAITING):
        waiting.append(asyncio.create_task(send(lab, "guide-draft", **DRAFT)))
        await asyncio.sleep(0.05)
    if lab.trouble:
        # All routes to the service go to another one, so the list of services has no use for it.
        changed = base_configuration()
        changed["version"] = 8
        for one in [*changed["routes"], *changed["services"]]:
            for key in ("service", "name"):
                if one.get(key) == MODEL:
                    one[key] = NEW_MODEL
        await lab.configure(changed)
        lab.record.note(f"the store has acknowledged version 8: {NEW_MODEL} instead of {MODEL}")
    await asyncio.sleep(0.3)
    joins = []
    for _ in range(JOINS):
        joins.append(asyncio.create_task(send(lab, "group-join")))
        await asyncio.sleep(0.1)
    is_broken = False
    for label, route, tasks in (
        ("running drafts", "guide-draft", running),
        ("waiting drafts", "guide-draft", waiting),
        ("sign-ups", "group-join", joins),
    ):
        found = await asyncio.gather(*tasks)
        overdue = [one for one in found if one[1] >= TIMEOUTS_S[route]]
        limit = TIMEOUTS_S[route] + SLACK_S
        unanswered = sum(not answer.is_complete or at > limit for answer, at in overdue)
        statuses = sorted({one.status for one, _ in found})
        lab.record.note(
            f"{label}: {len(found)} sent, statuses {statuses}, {len(overdue)} not answered at the "
            f"time-out, {unanswered} of these not {SLACK_S} s later"
        )
        # Eight or more of them, and over a quarter, have no final answer by then.
        is_broken |= unanswered >= 8 and unanswered > len(found) / 4
    return is_broken


main(__file__, case)
