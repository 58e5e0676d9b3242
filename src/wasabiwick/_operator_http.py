"""HTTP requests that operators' commands send to hosts and to the host list."""

import asyncio
import ssl

import aiohttp

MAX_PARALLEL_REQUESTS = 32

Answer = str | OSError | TimeoutError | aiohttp.ClientError


def fetch_all(
    urls: list[str], *, timeout: float, method: str = "GET", tls: ssl.SSLContext | None = None
) -> list[Answer]:
    """Send one request to each URL.

    Args:
        urls: The URLs.
        timeout: Seconds for each request.
        method: HTTP method.
        tls: Client certificate and trusted certificates, for HTTPS.

    Returns:
        For each URL the body of the answer, or the error if the request failed.
    """
    return asyncio.run(_fetch_all(urls, timeout, method, tls))


async def _fetch_all(
    urls: list[str], timeout: float, method: str, tls: ssl.SSLContext | None
) -> list[Answer]:
    connector = aiohttp.TCPConnector(limit=MAX_PARALLEL_REQUESTS, ssl=tls or True)
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
    """Return a short description, on one line, of the error of a failed request."""
    if isinstance(answer, aiohttp.ClientConnectorError):
        return f"connection to {answer.host}:{answer.port} failed: {answer.os_error.strerror}"
    if isinstance(answer, aiohttp.InvalidURL):
        return f'URL "{answer.url}" is not valid'
    return str(answer) or type(answer).__name__
