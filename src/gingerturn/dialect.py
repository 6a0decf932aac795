"""Names of the headers between callers, nodes and backend servers.

A deployment with other header names passes its own :class:`Dialect`.
"""

import msgspec

TRACEPARENT = b"traceparent"
"""W3C Trace Context."""


class Dialect(msgspec.Struct, frozen=True, kw_only=True):
    """Header names in lower case; a header with an empty name is not used.

    :param timeout: from callers: timeout of the request in milliseconds.
    :param deadline: to backend servers: remaining time in milliseconds.
    :param request_id: id of the request, which backend servers repeat in responses so
        that a response to another request is detected.
    :param api_key: from callers: the bare API key; it is not forwarded.
    :param key: from callers: idempotency key of an unrepeatable request; empty where
        the log does not serve claims of keys, which are forwarded like other headers.
    :param workspace: to backend servers: workspace of the request's API key.
    :param caller_service: to backend servers: service beside the entry node.
    :param instance: to backend servers: instance that the request is meant for.
    :param not_executed: from backend servers: present if the request did not run.
    :param not_run_statuses: to callers: statuses which state that a request did not
        run. That of a backend server is relayed only if it says so, too, or the request
        may be repeated.
    :param rate_limit: from backend servers: requests a second that they accept from all
        nodes together.
    :param leaving: from backend servers: ``1`` if they take no new requests.
    :param load: from backend servers: requests running and waiting there, slots and
        sometimes the pace, separated by commas.
    :param decision: to callers: id of the decision, for ``gingerturn why``.
    :param trace: forward a W3C ``traceparent``, which links calls to their parents.
    :param lineage: separator between the id of a request and the suffix that a
        backend server adds for a call of its own. A call whose id extends that of a
        request in progress here is its child; any other is a new root.
    :param retry_after_fractions: Retry-After may have fractions of a second.
    """

    timeout: bytes = b"gingerturn-timeout-ms"
    deadline: bytes = b"gingerturn-deadline-ms"
    request_id: bytes = b""
    api_key: bytes = b"gingerturn-api-key"
    key: bytes = b"idempotency-key"
    workspace: bytes = b"gingerturn-workspace"
    caller_service: bytes = b""
    instance: bytes = b""
    not_executed: bytes = b""
    not_run_statuses: frozenset[int] = frozenset()
    rate_limit: bytes = b"gingerturn-rate-limit"
    leaving: bytes = b"gingerturn-leaving"
    load: bytes = b"gingerturn-load"
    decision: bytes = b"gingerturn-decision"
    trace: bool = True
    lineage: bytes = b""
    retry_after_fractions: bool = False

    def written_by_nodes(self) -> frozenset[bytes]:
        """Return the headers that nodes set; those of a sender are dropped."""
        names = {self.timeout, self.deadline, self.caller_service, self.instance}
        names |= {self.api_key, self.workspace}
        if self.trace:
            names.add(TRACEPARENT)
        return frozenset(name for name in names if name)


DEFAULT = Dialect()
"""Header names of deployments without a dialect of their own."""
