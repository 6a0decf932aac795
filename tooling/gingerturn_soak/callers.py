"""Callers: they keep their connections open and write down what they got."""

import asyncio
import contextlib
import itertools
import time

import httpx
import msgspec

from gingerturn_standins import platform_upstream

HOST = "shop.example"
DEADLY_PATH = f"/a{platform_upstream.DEADLY_PATH}"
DEADLY_IDS = "deadly-"
DEADLINE_MS = 2_000
TIMEOUT_S = 6.0
"""A caller waits this long for an answer although it told the node 2 s: nodes must
answer by then, and what they do not answer shows."""

PAUSE_S = 0.08
"""Between two requests of a caller; a request that waits holds up no other."""


class Attempt(msgspec.Struct):
    """One request, and what came of it.

    :param version: version of the configuration that a probe asks for.
    :param incarnation: how often the node was started before.
    :param status: 0 while there is none.
    :param whole: a success had the right signature and the whole body.
    :param problem: how the exchange broke, if it did.
    """

    id: str
    repeatable: bool
    node: str
    incarnation: int
    began: float
    ended: float = 0.0
    status: int = 0
    whole: bool = True
    problem: str = ""
    version: int = 0


def now_ms() -> float:
    """Return the time of day that the backend servers write too."""
    return time.time() * 1000.0


class Callers:
    """The callers of one machine.

    :param name: the machine's.
    :param port: where its node, or the proxy before it, takes callers.
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
            trust_env=False, timeout=TIMEOUT_S, limits=limits
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until told to stop, and wait for the last answers."""
        while not stop.is_set():
            self._spawn("GET", "/a/x", "plans")
            self._spawn("POST", "/p/x", "porting")
            if self.version:
                self._spawn("GET", f"/v/{self.version}/", "", version=self.version)
            await asyncio.sleep(PAUSE_S)
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
        task = asyncio.create_task(self._ask(attempt, method, path, service))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_deadly(self, number: int) -> None:
        """Send a request that ends backend servers; nobody misses its answer."""
        headers = {
            "Host": HOST,
            "Request-Id": f"{DEADLY_IDS}{number}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://127.0.0.1:{self._port}{DEADLY_PATH}"
        with contextlib.suppress(httpx.HTTPError):
            await self._client.get(url, headers=headers)

    async def _ask(
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
            if reply.is_success:
                signature = reply.headers.get("Response-Signature")
                expected = body or f"{service} {path}".encode()
                right = reply.content == expected or not service
                attempt.whole = right and signature == f"signed.{attempt.id}"
        except httpx.HTTPError as error:
            attempt.problem = type(error).__name__
        attempt.ended = now_ms()
