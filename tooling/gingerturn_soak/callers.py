"""Callers with persistent connections that record the answer to each request."""

import asyncio
import contextlib
import itertools
import time

import httpx
import msgspec

from gingerturn.internal.core import decisions
from gingerturn_standins import platform_upstream

HOST = "shop.example"
DEADLY_PATH = f"/a{platform_upstream.DEADLY_PATH}"
DEADLY_IDS = "deadly-"
UNSETTLED_TITLE = decisions.Rule.ROUTE_UNSETTLED.name.lower().replace("_", " ")
"""Title of the answer to a request whose route may be in a later configuration."""

DEADLINE_MS = 2_000
TIMEOUT_S = 6.0
"""How long a caller waits for an answer: longer than the deadline that it sends, so
that late answers are observed."""

REQUEST_INTERVAL_S = 0.08
"""Interval between requests of a caller, which do not wait for each other."""


class Attempt(msgspec.Struct):
    """One request and its result.

    :param version: configuration version that a probe requests; 0 for no probe.
    :param instance: the backend server whose answer reported a limit or leaving.
    :param limited: it reported a rate limit.
    :param leaving: it reported that it is leaving.
    :param incarnation: number of earlier starts of the node.
    :param status: 0 while there is none.
    :param intact: whether a success had the expected signature and body.
    :param error: how the exchange failed, if it did.
    :param unrouted: the node knew no route for it, for good or until it has a later
        configuration.
    """

    id: str
    repeatable: bool
    node: str
    incarnation: int
    began: float
    ended: float = 0.0
    status: int = 0
    intact: bool = True
    error: str = ""
    version: int = 0
    instance: str = ""
    limited: bool = False
    leaving: bool = False
    unrouted: bool = False


def now_ms() -> float:
    """Return the wall clock in ms, which backend servers log too."""
    return time.time() * 1000.0


class Callers:
    """The callers of one machine.

    :param name: name of the machine.
    :param port: where its node, or the proxy in front of it, accepts callers.
    """

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.incarnation = 0
        self.version = 0
        self.attempts: list[Attempt] = []
        self._port = port
        self._numbers = itertools.count()
        limits = httpx.Limits(max_connections=64, max_keepalive_connections=32)
        self._client = httpx.AsyncClient(
            trust_env=False, verify=False, timeout=TIMEOUT_S, limits=limits
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, stop: asyncio.Event, share: float = 1.0) -> None:
        """Send requests until stopped, and wait for the last answers.

        :param share: factor of the interval between requests.
        """
        while not stop.is_set():
            self._spawn("GET", "/a/x", "plans")
            self._spawn("POST", "/p/x", "porting")
            if self.version:
                self._spawn("GET", f"/v/{self.version}/", "", version=self.version)
            await asyncio.sleep(REQUEST_INTERVAL_S * share)
        await asyncio.gather(*self._tasks)
        await self._client.aclose()

    def _spawn(self, method: str, path: str, service: str, *, version: int = 0) -> None:
        attempt = Attempt(
            id=f"{self.name}-{next(self._numbers)}",
            repeatable=method == "GET",
            node=self.name,
            incarnation=self.incarnation,
            began=now_ms(),
            version=version,
        )
        self.attempts.append(attempt)
        task = asyncio.create_task(self._send(attempt, method, path, service))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_deadly(self, number: int) -> None:
        """Send a request that crashes backend servers; its answer is ignored."""
        headers = {
            "Host": HOST,
            "Request-Id": f"{DEADLY_IDS}{number}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://127.0.0.1:{self._port}{DEADLY_PATH}"
        with contextlib.suppress(httpx.HTTPError):
            await self._client.get(url, headers=headers)

    async def _send(
        self, attempt: Attempt, method: str, path: str, service: str
    ) -> None:
        body = attempt.id.encode() * 20 if method == "POST" else b""
        headers = {
            "Host": HOST,
            "Request-Id": attempt.id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://127.0.0.1:{self._port}{path}"
        try:
            reply = await self._client.request(
                method, url, headers=headers, content=body
            )
            attempt.status = reply.status_code
            attempt.unrouted = _is_unrouted(reply)
            attempt.instance = reply.headers.get("Instance-Id", "")
            attempt.limited = "Server-Limit" in reply.headers
            attempt.leaving = "Server-Leaving" in reply.headers
            if reply.is_success:
                signature = reply.headers.get("Response-Signature")
                expected = body or f"{service} {path}".encode()
                is_expected = reply.content == expected or not service
                attempt.intact = is_expected and signature == f"signed.{attempt.id}"
        except httpx.HTTPError as error:
            attempt.error = type(error).__name__
        attempt.ended = now_ms()


def _is_unrouted(reply: httpx.Response) -> bool:
    """Whether an answer says that the node knows no route."""
    if reply.status_code == 404:
        return True
    return reply.status_code == 503 and UNSETTLED_TITLE in reply.text
