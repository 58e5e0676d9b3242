"""Sends the HTTP requests of the adapters, and returns their errors as failures."""

import asyncio
import ssl
import typing

import aiohttp
import msgspec

from .._decoding import decode_json
from .._errors import ENDPOINT_FAILED, ENDPOINT_REFUSED, ENDPOINT_SILENT, SUPERSEDED, Failure
from .._http1 import FIRST_STATUS, LAST_STATUS, MAX_BODY_BYTES
from .._progress_http import reset_check
from .._verdict import Verdict

T = typing.TypeVar("T")

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
JSON_TYPE = {"Content-Type": "application/json"}


def failure_from_error(exc: BaseException, address: str) -> Failure:
    """Turn a transport error into a failure that says whether the request may have run.

    Only an error before the connection was established proves that nothing was sent.

    Args:
        exc: The exception that the client library raised.
        address: Base URL that was called.

    Returns:
        The failure.
    """
    if isinstance(exc, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return Failure(
            reason=ENDPOINT_FAILED,
            verdict=Verdict.NOT_RUN,
            detail=f'connection to "{address}" was refused or timed out',
        )
    if isinstance(exc, TimeoutError):
        return Failure(
            reason=ENDPOINT_SILENT,
            verdict=Verdict.MAY_HAVE_RUN,
            detail=f'"{address}" stopped answering',
        )
    return Failure(
        reason=ENDPOINT_FAILED,
        verdict=Verdict.MAY_HAVE_RUN,
        detail=f'connection to "{address}" broke: {type(exc).__name__}',
    )


def failure_from_status(status: int, address: str) -> Failure:
    """Turn an error status into a failure; 503 and 4xx except 409 mean that nothing was run."""
    if status == HTTP_CONFLICT:
        return Failure(reason=SUPERSEDED, verdict=Verdict.MAY_HAVE_RUN)
    refused = status == HTTP_UNAVAILABLE or 400 <= status < 500
    return Failure(
        reason=ENDPOINT_REFUSED if refused else ENDPOINT_FAILED,
        verdict=Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN,
        detail=f'"{address}" answered status {status}',
    )


def check_status(resp: aiohttp.ClientResponse) -> None:
    """Check that what came is an answer.

    Raises:
        aiohttp.ClientError: If it has a status that HTTP does not know, such as 000.
    """
    if not FIRST_STATUS <= resp.status <= LAST_STATUS:
        raise aiohttp.ClientPayloadError(f"the answer has the status {resp.status:03}")


async def read_body(resp: aiohttp.ClientResponse) -> bytes:
    """Return the whole body of an answer.

    Raises:
        aiohttp.ClientError: If the body is incomplete, or has more than `MAX_BODY_BYTES`, or if
            what came is no answer.
    """
    check_status(resp)
    has_come = reset_check(resp)
    body = bytearray()
    while part := await resp.content.readany():
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(f"the body has more than {MAX_BODY_BYTES} bytes")
    has_come()
    return bytes(body)


async def request_json(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    *,
    timeout: float,
    answer: type[T] | None,
    body: object = None,
    tls: ssl.SSLContext | bool = True,
) -> T | Failure:
    """Send one JSON request and decode its JSON answer.

    Args:
        session: Client session.
        method: HTTP method.
        address: Base URL.
        path: Path with query below the base URL.
        timeout: Time-out of the whole exchange, in seconds.
        answer: Type of the answer's body, or None if the body is not needed.
        body: Message to send as JSON, or None.
        tls: Context for HTTPS; True for the system's certificate authorities.

    Returns:
        The decoded answer, None if ``answer`` is None, or a failure.
    """
    data = None if body is None else msgspec.json.encode(body)
    try:
        async with (
            asyncio.timeout(timeout),
            session.request(method, address + path, data=data, headers=JSON_TYPE, ssl=tls) as resp,
        ):
            if resp.status >= 400:
                return failure_from_status(resp.status, address)
            raw = await read_body(resp)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        return failure_from_error(exc, address)
    if answer is None:
        return None
    try:
        return decode_json(raw, answer)
    except msgspec.MsgspecError as exc:
        return failure_from_error(exc, address)
