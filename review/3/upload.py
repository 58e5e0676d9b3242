"""SIGTERM while a client uploads: the upload and requests on kept connections get no answer."""

import asyncio
import signal

from review.lab import STREAM_HEADERS, Answer, Client, Lab

BODY = b"a passage note " * 6_000  # 90 kB; the site's largest is 100 kB.
PARTS = 50
UPLOAD_S = 5.0  # 144 kbit/s, as over a weak mobile link.
TERM_AFTER_S = 0.5  # After the upload has begun.
KEPT_AFTER_S = 4.0  # After SIGTERM. Kept connections may be idle for 12 s.
KEPT = 4
SLACK_S = 0.2  # `loss-slack-ms`


async def upload(lab: Lab, client: Client) -> tuple[Answer, float]:
    """Upload a prompt; returns the answer and how long after the last byte the connection ended."""
    size = len(BODY) // PARTS
    parts = [BODY[at : at + size] for at in range(0, len(BODY), size)]
    name = client.send("/guide-draft/x", body=parts[0], length=len(BODY), **STREAM_HEADERS)
    for part in parts[1:]:
        await asyncio.sleep(UPLOAD_S / PARTS)
        client.send_rest(part)
    lab.record.note(f"client has sent the last byte of {name}")
    return await wait_for(lab, client, name)


async def wait_for(lab: Lab, client: Client, name: str) -> tuple[Answer, float]:
    """Return the answer, and how long after the call the answer or the connection ended."""
    sent = lab.record.now()
    answer = await client.answer(name)
    return answer, lab.record.now() - sent


async def loses_uploads(lab: Lab) -> bool:
    """Stop a host during an upload; returns whether requests were lost."""
    await lab.usual(hosts=1)
    host = lab.hosts[0]
    kept = [Client(lab, host.callers) for _ in range(KEPT)]
    for client in kept:
        await client.connect()
        name = client.send("/roster-read/x", method="GET", deadline_ms=1500)
        if not (await client.answer(name)).is_complete:
            raise RuntimeError("the host serves nothing")
    uploader = Client(lab, host.callers)
    await uploader.connect()
    uploading = asyncio.create_task(upload(lab, uploader))
    await asyncio.sleep(TERM_AFTER_S)
    if lab.trouble:
        host.signal(signal.SIGTERM)
    await asyncio.sleep(KEPT_AFTER_S)
    names = [client.send("/guide-draft/kept", **STREAM_HEADERS) for client in kept]
    found = await asyncio.gather(
        uploading,
        *(wait_for(lab, client, name) for client, name in zip(kept, names, strict=True)),
    )
    lost = 0
    for label, (answer, seconds) in zip(["upload", *names], found, strict=True):
        is_lost = not answer.is_complete and seconds > SLACK_S
        lost += is_lost
        text = "lost" if is_lost else f"status {answer.status}"
        lab.record.note(f"{label}: {text}, {seconds:.3f} s after its last byte")
    return lost > 0
