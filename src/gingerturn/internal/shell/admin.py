"""The administration API: litestar on uvicorn, on a separate address.

Calls are served by :mod:`.ingress`, without the overhead of these libraries.
"""

import collections.abc
import contextlib
import hashlib
import hmac
import ipaddress
import typing

import litestar
import msgspec
import uvicorn
from litestar import exceptions, openapi, params, response as responses

from gingerturn import announcements, configuration, errors
from gingerturn.internal import checks, decoding, ids, logs
from gingerturn.internal.core import (
    decisions,
    events,
    levels,
    messages,
    quarantine,
    ranks,
)
from gingerturn.internal.shell import admin_connections, clock, node as nodes

DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_PART = "admin"


class MemberRow(msgspec.Struct):
    """A member as seen by this node."""

    node: str
    state: str
    zone: str
    address: str
    service: str
    slots: int
    incarnation: int
    level: str
    load: int
    limit: int


class BackendRow(msgspec.Struct):
    """The backend server of this node's instance."""

    service: str
    present: bool
    leaving: bool
    slots: int
    limit: float
    rate_limit: float
    running: int
    queued: int
    level: int
    level_words: str


class Status(msgspec.Struct):
    """State of a node, as ``gingerturn status`` prints it."""

    node: str
    incarnation: int
    zone: str
    stopping: bool
    revision: int
    digest: str
    calls: int
    hosted: int
    backend: BackendRow
    members: list[MemberRow]
    answered: int
    refused: dict[str, int]
    durations_us: dict[str, float]


class Publication(msgspec.Struct, forbid_unknown_fields=True):
    """A request to publish a team's document."""

    author: str
    base: decoding.Integer
    text: str


class PublicationResult(msgspec.Struct):
    """Outcome of a publication; ``accepted`` is null if unknown."""

    accepted: bool | None
    revision: int
    problem: str


class ConfigurationView(msgspec.Struct):
    """The current configuration."""

    revision: int
    digest: str
    documents: dict[str, str]
    changed: dict[str, int]


class KeptOutRow(msgspec.Struct):
    """A request in quarantine.

    :param request: its fingerprint, 12 hexadecimal digits.
    :param ends: crashes of backend servers while they ran it.
    :param trial_in_s: seconds until it is tried again, on one backend server.
    """

    request: str
    ends: int
    last_end_s: float
    trial_in_s: float


class Administration:
    """Handlers of a node's administration API.

    :param node: the node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node

    def application(self) -> litestar.Litestar:
        """Return the ASGI application."""
        handlers = [
            litestar.get("/status", sync_to_thread=False)(self.status),
            litestar.get("/why/{decision_id:str}")(self.why),
            litestar.get("/audit")(self.audit),
            litestar.get("/config", sync_to_thread=False)(self.config),
            litestar.get("/config/history", sync_to_thread=False)(self.history),
            litestar.post("/config/{team:str}", status_code=200)(self.publish),
            litestar.get("/quarantine", sync_to_thread=False)(self.kept_out),
            litestar.delete("/quarantine/{request_id:str}", sync_to_thread=False)(
                self.clear
            ),
            litestar.put("/backend", sync_to_thread=False, status_code=204)(
                self.announce
            ),
            litestar.delete("/backend", sync_to_thread=False)(self.withdraw),
            litestar.post("/drain", sync_to_thread=False, status_code=202)(self.drain),
        ]
        return litestar.Litestar(
            route_handlers=handlers,
            exception_handlers={Exception: _problem_response},
            openapi_config=openapi.OpenAPIConfig(
                title="gingerturn administration", version="1"
            ),
            logging_config=None,
        )

    def status(self) -> Status:
        """Return the state of the node and of its members."""
        state = self._node.state
        backend = state.backend
        counters = self._node.counters
        return Status(
            node=self._node.name,
            incarnation=self._node.incarnation,
            zone=state.zone,
            stopping=state.stopping,
            revision=state.revisions.revision,
            digest=state.configuration.digest,
            calls=len(state.calls),
            hosted=len(state.hosted),
            backend=BackendRow(
                service=backend.service,
                present=backend.present,
                leaving=backend.leaving,
                slots=backend.slots,
                limit=backend.limit,
                rate_limit=backend.limiter.limit,
                running=backend.running,
                queued=len(backend.queue),
                level=backend.level,
                level_words=_level_text(backend.level),
            ),
            members=[self._member(m) for m in state.membership.members.values()],
            answered=counters.answered,
            refused=counters.refused,
            durations_us={
                f"p{p:g}": self._node.durations.get_value_at_percentile(p)
                for p in PERCENTILES
            },
        )

    async def why(self, decision_id: str) -> decisions.Decision:
        """Return a decision, queried from the node that made it."""
        found = await self._node.links.why(decision_id)
        if found is None:
            raise exceptions.NotFoundException(
                f"decision {decision_id!r} is not held (any more)"
            )
        return found

    async def audit(
        self,
        team: str = "",
        since_ms: float = 0.0,
        limit: typing.Annotated[
            int, params.Parameter(ge=1, le=MAX_PAGE_SIZE)
        ] = DEFAULT_PAGE_SIZE,
        page: typing.Annotated[int, params.Parameter(ge=1)] = 1,
    ) -> list[messages.AuditRecord]:
        """Return a page of audit records, newest last."""
        records = [
            record
            for record in await self._node.log.audit()
            if record.at >= since_ms and team in {"", record.subject}
        ]
        return records[(page - 1) * limit : page * limit]

    def config(self) -> ConfigurationView:
        """Return the current configuration."""
        held = self._node.state.revisions
        return ConfigurationView(
            revision=held.revision,
            digest=self._node.state.configuration.digest,
            documents=held.documents,
            changed=held.changed,
        )

    def history(self) -> list[messages.AuditRecord]:
        """Return the outcomes of publications that this node has read."""
        return self._node.state.revisions.history

    async def publish(
        self,
        team: str,
        data: Publication,
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
    ) -> PublicationResult:
        """Publish a team's document."""
        checks.check_name("team", team)
        self._check_token(team, request.headers.get("authorization", ""))
        configuration.parse(data.text, f"{team}.toml")
        outcome = await self._node.publish(
            team=ids.TeamName(team),
            author=data.author,
            base=ids.Revision(data.base),
            text=data.text,
        )
        return PublicationResult(
            accepted=outcome.accepted,
            revision=outcome.revision,
            problem=outcome.problem,
        )

    def kept_out(self) -> list[KeptOutRow]:
        """Return the requests in quarantine on this node."""
        state = self._node.state
        rows = []
        for request in state.quarantine.quarantined:
            ends, last_end_s, trial_in_s = quarantine.decision_figures(state, request)
            name = ids.fingerprint_text(request)
            rows.append(KeptOutRow(name, int(ends), last_end_s, trial_in_s))
        return rows

    def clear(
        self,
        request_id: str,
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
        author: str = "",
    ) -> None:
        """Release a request from quarantine on all nodes."""
        self._check_same_instance(request)
        known = self._node.state.quarantine.quarantined
        found = [r for r in known if ids.fingerprint_text(r) == request_id]
        if not found:
            raise exceptions.NotFoundException(
                f"request {request_id!r} is not kept out here"
            )
        cleared = events.RequestCleared(
            now=clock.now(), request=ids.Fingerprint(found[0]), author=author
        )
        self._node.apply(cleared)

    def announce(
        self,
        data: announcements.Announcement,
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
    ) -> None:
        """Announce the backend server of this instance, or renew its announcement."""
        self._check_same_instance(request)
        self._node.announce(data)

    def withdraw(
        self, request: litestar.Request[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Withdraw the backend server, which gets no further calls."""
        self._check_same_instance(request)
        self._node.withdraw()

    def drain(
        self, request: litestar.Request[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Begin a planned stop of this node."""
        self._check_same_instance(request)
        self._node.begin_stop()

    def _member(self, member: messages.Member) -> MemberRow:
        upstream = self._node.state.upstreams.get(member.node)
        level = 0
        if upstream is not None:
            level = levels.decayed(upstream.own_level, clock.now())
        return MemberRow(
            node=member.node,
            state=member.state.name.lower(),
            zone=member.zone,
            address=f"{member.host}:{member.peers_port}",
            service=member.service,
            slots=member.slots,
            incarnation=member.incarnation,
            level=_level_text(level),
            load=upstream.load if upstream else 0,
            limit=upstream.limit if upstream else 0,
        )

    def _check_same_instance(
        self, request: litestar.Request[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Reject clients other than processes of the same instance."""
        client = request.client.host if request.client else ""
        own = self._node.settings.node.host
        if client == own or ipaddress.ip_address(client or "0.0.0.0").is_loopback:
            return
        logs.write(
            "WARNING",
            _PART,
            f"Refused a request of {client}, which is not on this instance.",
        )
        raise exceptions.PermissionDeniedException(
            "only a process of the same instance may do this"
        )

    def _check_token(self, team: str, authorization: str) -> None:
        teams = {known.name: known for known in self._node.settings.team}
        if not teams:
            # No teams are configured: access is limited by the address only.
            return
        digest = hashlib.sha256(authorization.removeprefix("Bearer ").encode())
        expected = teams[team].token_sha256 if team in teams else ""
        if hmac.compare_digest(digest.hexdigest(), expected):
            return
        logs.write("WARNING", _PART, f"Refused a publication for team {team}.")
        raise exceptions.PermissionDeniedException(
            f"the token is not one of team {team!r}"
        )


def _level_text(level: int) -> str:
    if level == ranks.LOWEST:
        return "nothing is shed"
    return f"shed below {ranks.describe(level)}"


def _problem_response(
    request: litestar.Request[typing.Any, typing.Any, typing.Any], error: Exception
) -> responses.Response[dict[str, typing.Any]]:
    """Return any error as an RFC 9457 problem."""
    status = 500
    detail = str(error)
    if isinstance(error, exceptions.HTTPException):
        status = error.status_code
        detail = error.detail
        extra = getattr(error, "extra", None)
        if extra:
            detail = f"{detail}: {extra}"
    elif isinstance(error, errors.InvalidArgument | errors.InvalidDocument):
        status = 400
    elif isinstance(error, RecursionError):
        # Of the framework's decoder: the handlers do not recurse.
        status, detail = 400, "the body is nested too deeply"
        logs.warn_skipped("Request", request.url.path.encode(), detail)
    elif isinstance(error, errors.GingerturnError):
        status = 502
    if status == 500:
        logs.write("ERROR", _PART, f"{type(error).__name__}: {error}")
    return responses.Response(
        {"type": "about:blank", "status": status, "title": detail},
        status_code=status,
        media_type="application/problem+json",
    )


class _Server(uvicorn.Server):
    """A server that installs no signal handlers; the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Capture no signals."""
        yield


def server(node: "nodes.Node") -> uvicorn.Server:
    """Return the server of a node's administration API."""
    node_settings = node.settings.node
    return _Server(
        uvicorn.Config(
            Administration(node).application(),
            host=node_settings.host,
            port=node_settings.admin_port,
            log_level="warning",
            access_log=False,
            lifespan="off",
            # Set explicitly, so that uvicorn imports no other implementations.
            http=admin_connections.protocol_class(node),
            ws="none",
            loop="none",
            timeout_graceful_shutdown=1,
        )
    )
