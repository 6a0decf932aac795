"""Service graphs of two users at their specified sizes, for the fake world.

Upstreams, slots and latencies are specified. Service times and the calls between
services are assumptions: service times are long enough to keep runs short, and lookups
and unrepeatable requests share the deepest service.
"""

import dataclasses

from gingerturn_fakes import backends, links, parts

BROLGA_DOCUMENT = """
[[importance]]
name = "lookup"

[[importance]]
name = "protected"
above = ["lookup"]

[[service]]
name = "plans"

[[service]]
name = "porting"

[[service]]
name = "profiles"

[[service]]
name = "provisioning"

[[kind]]
name = "plan-status"
service = "plans"
importance = "lookup"
retry_allowance = 2
timeout_ms = 5000

[[kind]]
name = "profile-view"
service = "profiles"
importance = "lookup"
retry_allowance = 2
timeout_ms = 5000

[[kind]]
name = "sim-view"
service = "provisioning"
importance = "lookup"
retry_allowance = 2
timeout_ms = 5000

[[kind]]
name = "port-request"
service = "porting"
methods = ["POST"]
importance = "protected"
repeatable = false
key = "generated"
timeout_ms = 10000

[[kind]]
name = "profile-assign"
service = "profiles"
methods = ["POST"]
path_prefix = "/assign"
importance = "protected"
repeatable = false
key = "generated"
timeout_ms = 10000

[[kind]]
name = "provision"
service = "provisioning"
methods = ["POST"]
path_prefix = "/provision"
importance = "protected"
repeatable = false
key = "generated"
timeout_ms = 10000
"""

COOPCARGA_DOCUMENT = """
[[importance]]
name = "pull"

[[importance]]
name = "lookup"
above = ["pull"]

[[importance]]
name = "protected"
above = ["lookup"]

[[service]]
name = "manifesto"

[[service]]
name = "balanca"

[[service]]
name = "despacho"

[[service]]
name = "paletes"

[[kind]]
name = "manifest-view"
service = "manifesto"
importance = "lookup"
retry_allowance = 2
timeout_ms = 8000

[[kind]]
name = "pallet-view"
service = "paletes"
importance = "lookup"
retry_allowance = 2
timeout_ms = 8000

[[kind]]
name = "customs-pack"
service = "despacho"
importance = "pull"
retry_allowance = 1
timeout_ms = 8000

[[kind]]
name = "sign-off"
service = "balanca"
methods = ["POST"]
importance = "protected"
repeatable = false
key = "generated"
timeout_ms = 15000

[[kind]]
name = "pallet-fix"
service = "paletes"
methods = ["POST"]
importance = "protected"
repeatable = false
key = "generated"
timeout_ms = 15000
"""


@dataclasses.dataclass
class Graph:
    """Service graph of a user and its demand.

    :param mix: share of each kind of root in the demand.
    :param abandon_after_ms: time after which a caller abandons a call, by kind;
        shorter than the deadlines.
    :param deepest: the service that is slowed in the storm.
    """

    name: str
    document: str
    zones: list[str]
    caller_ms: float
    services: list[parts.ServiceSpec]
    kinds: dict[str, parts.KindSpec]
    mix: dict[str, float]
    abandon_after_ms: dict[str, float]
    protected: str
    deepest: str

    def slot_ms(self) -> dict[str, dict[str, float]]:
        """Return the slot time in ms that one root of a kind takes at each service.

        A slot is held while the calls below it are under way, so the time at a
        service includes that of the services below and the network latency to them.
        """
        return {name: self._slot_ms(name) for name in self.kinds}

    def capacity(self, mix: dict[str, float] | None = None) -> float:
        """Return the roots a second that the slots allow for a mix.

        The bound of the bottleneck service: its slots divided by the slot time that
        an average root takes there.
        """
        mix = mix or self.mix
        total = sum(mix.values())
        use: dict[str, float] = {}
        for name, share in mix.items():
            for service, spent in self._slot_ms(name).items():
                use[service] = use.get(service, 0.0) + share / total * spent
        slots = {s.name: s.slots * s.upstreams for s in self.services}
        return min(slots[name] * 1000.0 / spent for name, spent in use.items())

    def _slot_ms(self, kind: str) -> dict[str, float]:
        spec = self.kinds[kind]
        found: dict[str, float] = {}
        self._add(spec.service, kind, found)
        return found

    def _add(self, service: str, kind: str, found: dict[str, float]) -> float:
        spec = next(s for s in self.services if s.name == service)
        spent = spec.service_ms[kind] + 2 * backends.LOCAL_MS
        for step in spec.calls.get(kind, []):
            child = step.split(" ")[0]
            child_kind = _CHILD_KINDS[step]
            spent += self._add(child, child_kind, found) + 2 * links.ZONE_MS
        found[service] = found.get(service, 0.0) + spent
        return spent


_CHILD_KINDS = {
    "profiles GET /view": "profile-view",
    "provisioning GET /view": "sim-view",
    "profiles POST /assign": "profile-assign",
    "provisioning POST /provision": "provision",
    "paletes GET /view": "pallet-view",
    "paletes POST /fix": "pallet-fix",
    "manifesto GET /view": "manifest-view",
}


def brolga() -> Graph:
    """Brolga Connect: lookups three services deep, port requests three as well."""
    return Graph(
        name="brolga",
        document=BROLGA_DOCUMENT,
        zones=["bne-a", "bne-b", "tsv"],
        caller_ms=8.0,
        services=[
            parts.ServiceSpec(
                "plans",
                5,
                90,
                {"plan-status": 300.0},
                {"plan-status": ["profiles GET /view"]},
            ),
            parts.ServiceSpec(
                "porting",
                4,
                110,
                {"port-request": 400.0},
                {
                    "port-request": [
                        "profiles POST /assign",
                        "provisioning POST /provision",
                    ]
                },
            ),
            parts.ServiceSpec(
                "profiles",
                3,
                150,
                {"profile-view": 200.0, "profile-assign": 300.0},
                {"profile-view": ["provisioning GET /view"]},
            ),
            parts.ServiceSpec(
                "provisioning", 3, 20, {"sim-view": 200.0, "provision": 600.0}
            ),
        ],
        kinds={
            "plan-status": parts.KindSpec("plan-status", "plans", "GET", "/status"),
            "port-request": parts.KindSpec("port-request", "porting", "POST", "/ports"),
        },
        mix={"plan-status": 0.9, "port-request": 0.1},
        abandon_after_ms={"plan-status": 3_000.0, "port-request": 8_000.0},
        protected="port-request",
        deepest="provisioning",
    )


def coopcarga() -> Graph:
    """Coopcarga Nordeste: manifests, customs packs, and sign-offs."""
    return Graph(
        name="coopcarga",
        document=COOPCARGA_DOCUMENT,
        zones=["guararapes", "boa-viagem", "suape"],
        caller_ms=3.0,
        services=[
            parts.ServiceSpec(
                "manifesto",
                5,
                170,
                {"manifest-view": 400.0},
                {"manifest-view": ["paletes GET /view"]},
            ),
            parts.ServiceSpec(
                "balanca",
                3,
                280,
                {"sign-off": 600.0},
                {"sign-off": ["manifesto GET /view", "paletes POST /fix"]},
            ),
            parts.ServiceSpec("despacho", 3, 280, {"customs-pack": 2_500.0}),
            parts.ServiceSpec(
                "paletes", 3, 60, {"pallet-view": 500.0, "pallet-fix": 700.0}
            ),
        ],
        kinds={
            "manifest-view": parts.KindSpec(
                "manifest-view", "manifesto", "GET", "/view"
            ),
            "customs-pack": parts.KindSpec("customs-pack", "despacho", "GET", "/pack"),
            "sign-off": parts.KindSpec("sign-off", "balanca", "POST", "/sign"),
        },
        mix={"manifest-view": 0.45, "customs-pack": 0.47, "sign-off": 0.08},
        abandon_after_ms={
            "manifest-view": 6_000.0,
            "customs-pack": 7_000.0,
            "sign-off": 12_000.0,
        },
        protected="sign-off",
        deepest="paletes",
    )


GRAPHS = {"brolga": brolga, "coopcarga": coopcarga}
