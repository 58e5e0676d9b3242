"""Requests that operators' commands send to hosts."""

import asyncio
import ssl

import aiohttp

MAX_PARALLEL = 32

Answer = str | OSError | TimeoutError | aiohttp.ClientError


def fetch_all(
    urls: list[str], *, timeout: float, method: str = "GET", tls: ssl.SSLContext | None = None
) -> list[Answer]:
    """Send one request to each URL.

    Args:
        urls: The URLs.
        timeout: Seconds for each request.
        method: HTTP method.
        tls: Certificates to show and to trust, for HTTPS.

    Returns:
        For each URL the body of the answer, or the error that came in its place.
    """
    return asyncio.run(_fetch_all(urls, timeout, method, tls))


async def _fetch_all(
    urls: list[str], timeout: float, method: str, tls: ssl.SSLContext | None
) -> list[Answer]:
    connector = aiohttp.TCPConnector(limit=MAX_PARALLEL, ssl=tls or True)
    limit = aiohttp.ClientTimeout(total=timeout)
    async with aiohttp.ClientSession(
        connector=connector, timeout=limit, raise_for_status=True
    ) as session:
        return await asyncio.gather(*(_fetch(session, method, url) for url in urls))


async def _fetch(session: aiohttp.ClientSession, method: str, url: str) -> Answer:
    try:
        async with session.request(method, url) as resp:
            return await resp.text()
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        return exc


def error_text(answer: Answer) -> str:
    """Return one short line for an error that came in place of an answer."""
    if isinstance(answer, aiohttp.ClientConnectorError):
        return f"connection to {answer.host}:{answer.port} failed: {answer.os_error.strerror}"
    if isinstance(answer, aiohttp.InvalidURL):
        return f'URL "{answer.url}" is not valid'
    return str(answer) or type(answer).__name__
