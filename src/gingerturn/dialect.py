"""The names of headers on the way between callers, nodes and backend servers.

A deployment whose callers and backend servers speak other names passes its own
:class:`Dialect`; nothing else of a node changes.
"""

import msgspec

TRACEPARENT = b"traceparent"
"""W3C Trace Context."""


class Dialect(msgspec.Struct, frozen=True, kw_only=True):
    """Header names, in lower case; an empty one is not used.

    :param timeout: from callers: milliseconds that the caller will wait.
    :param deadline: to backend servers: milliseconds that are left.
    :param request_id: id of a request, which backend servers repeat in answers, so
        that an answer to another request is told by it.
    :param api_key: from callers: the API key, and nothing else; it goes no further.
    :param workspace: to backend servers: whose API key the request came with.
    :param caller_service: to backend servers: service beside the entry node.
    :param instance: to backend servers: the start of it that is meant.
    :param not_executed: from backend servers: present when the request did not run.
    :param decision: to callers: id of the decision, for ``gingerturn why``.
    :param trace: pass a W3C ``traceparent`` on, which ties calls to their parents.
    :param lineage: what a backend server puts between the id of the request that it
        serves and its own part in the id of a call. A call whose id continues that of
        a request that runs here belongs to it; any other is a request of its own.
    :param retry_after_fractions: callers read fractions of seconds in Retry-After.
    """

    timeout: bytes = b"gingerturn-timeout-ms"
    deadline: bytes = b"gingerturn-deadline-ms"
    request_id: bytes = b""
    api_key: bytes = b"gingerturn-api-key"
    workspace: bytes = b"gingerturn-workspace"
    caller_service: bytes = b""
    instance: bytes = b""
    not_executed: bytes = b""
    decision: bytes = b"gingerturn-decision"
    trace: bool = True
    lineage: bytes = b""
    retry_after_fractions: bool = False

    def written_by_nodes(self) -> frozenset[bytes]:
        """Return the headers that nodes write anew; a sender's own are dropped."""
        names = {self.timeout, self.deadline, self.caller_service, self.instance}
        names |= {self.api_key, self.workspace}
        if self.trace:
            names.add(TRACEPARENT)
        return frozenset(name for name in names if name)


OWN = Dialect()
"""What gingerturn speaks by itself."""
