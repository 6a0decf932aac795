"""Models of the users' deployments: services, kinds of request and load."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request and its route.

    :param rate_per_s: requests per second; 0 for one that only upstreams make.
    :param target_ms: latency within which an answer has its full worth.
    :param budget_ms: time after which a caller gives up.
    """

    name: str
    service: str
    work_ms: float
    calls: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    target_ms: int = 1_000
    budget_ms: int = 5_000
    timeout_ms: int = 5_000
    worth: float = 0.0
    late_worth: float = 0.3
    priority: int = 2
    safe: bool = True

    @property
    def path(self) -> str:
        """Path of a request."""
        return f"/{self.name}/x"


@dataclasses.dataclass(frozen=True)
class Service:
    """A service; one entry of ``speeds`` for each upstream.

    :param contention_factor: factor on the service time while nearly every slot is
        busy.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]
    contention_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Workspaces:
    """Workspaces of uneven size; the k-th sends in proportion to 1 / k ** exponent.

    :param cap_ratio: cap of each as a multiple of its usual requests a second; 0 for no
        caps.
    :param immediate_retry_share: share of the requests whose caller repeats them three
        times at once after refusals.
    """

    count: int = 72
    exponent: float = 1.2
    cap_ratio: float = 0.0
    immediate_retry_share: float = 0.0

    @property
    def names(self) -> tuple[str, ...]:
        """Names, the largest workspace first."""
        return tuple(f"w{number}" for number in range(1, self.count + 1))

    @property
    def shares(self) -> tuple[float, ...]:
        """Usual share of each workspace in the requests."""
        sizes = [float(k) ** -self.exponent for k in range(1, self.count + 1)]
        return tuple(size / sum(sizes) for size in sizes)


@dataclasses.dataclass(frozen=True)
class Site:
    """A deployment.

    :param bottleneck: the service at the end of every call tree.
    :param retry_slack: repeats allowed in a window in addition to the retry ratio.
    :param workspaces: ``None`` if requests carry no API keys.
    :param seconds: how long a run of it is played.
    """

    name: str
    zones: tuple[str, ...]
    caller_ms: float
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    bottleneck: str
    retry_slack: float = 49.0
    workspaces: Workspaces | None = None
    seconds: float = 14.0


BROLGA = Site(
    name="brolga",
    zones=("bne-a", "bne-b", "tsv"),
    caller_ms=8.0,
    services=(
        Service("plans", 89, (0.5, 1.0, 1.0, 1.5, 1.0)),
        Service("porting", 112, (0.5, 1.0, 1.0, 1.5)),
        Service("profiles", 149, (0.5, 1.0, 1.5)),
        Service("provisioning", 20, (0.7, 0.7, 1.6)),
    ),
    kinds=(
        Kind("plan-lookup", "plans", 90.0, ("account-state",), 196.0, 1_200, worth=1.0),
        Kind(
            "number-port",
            "porting",
            120.0,
            ("imsi-range", "imsi-range"),
            82.5,
            1_500,
            timeout_ms=800,
            worth=3.0,
            late_worth=0.6,
            priority=0,
            safe=False,
        ),
        Kind("esim-profile", "profiles", 72.0, (), 29.8, 300, 1_200, worth=1.0),
        Kind(
            "sim-provision",
            "provisioning",
            72.0,
            (),
            22.4,
            250,
            1_000,
            worth=1.0,
            safe=False,
        ),
        Kind("account-state", "porting", 15.0, ("imsi-range",), timeout_ms=2_500),
        Kind("imsi-range", "profiles", 15.0, ("stock-check",) * 4, timeout_ms=2_000),
        Kind("stock-check", "provisioning", 22.0, timeout_ms=700),
    ),
    bottleneck="provisioning",
)

COOPCARGA = Site(
    name="coopcarga",
    zones=("guararapes", "boa-viagem", "suape"),
    caller_ms=3.0,
    services=(
        Service("manifesto", 168, (0.7, 0.7, 1.6, 0.7, 1.6)),
        Service("balanca", 281, (0.6, 1.0, 1.4)),
        Service("despacho", 281, (0.6, 1.0, 1.4)),
        Service("paletes", 63, (0.6, 1.0, 1.4)),
    ),
    kinds=(
        Kind(
            "manifest-lookup",
            "manifesto",
            120.0,
            ("trim-table",),
            373.0,
            1_500,
            6_000,
            timeout_ms=800,
            worth=1.0,
        ),
        Kind(
            "signoff",
            "balanca",
            160.0,
            ("tariff",),
            153.0,
            1_500,
            6_000,
            timeout_ms=1_000,
            worth=3.0,
            late_worth=0.6,
            priority=0,
            safe=False,
        ),
        Kind("customs-pack", "despacho", 96.0, (), 38.0, 400, 1_500, worth=1.0),
        Kind(
            "uld-booking",
            "paletes",
            96.0,
            (),
            42.6,
            300,
            1_200,
            worth=1.0,
            safe=False,
        ),
        Kind("trim-table", "balanca", 15.0, ("tariff",), timeout_ms=3_000),
        Kind("tariff", "despacho", 15.0, ("dg-code",) * 4, timeout_ms=2_500),
        Kind("dg-code", "paletes", 30.0, timeout_ms=700),
    ),
    bottleneck="paletes",
)

MAWID = Site(
    name="mawid",
    zones=("cairo-a", "cairo-b", "cairo-c"),
    caller_ms=1.0,
    services=(
        Service("calendar", 87, (0.6, 1.0, 1.4, 0.6, 1.0)),
        Service("payments", 145, (0.6, 1.0, 1.4)),
        Service("booking", 145, (0.7, 0.7, 1.6)),
        Service("tracker", 36, (0.5, 1.0, 1.5)),
    ),
    kinds=(
        Kind(
            "slot-view",
            "calendar",
            120.0,
            ("fee-lookup",),
            198.0,
            1_500,
            timeout_ms=800,
            worth=1.0,
            late_worth=0.5,
        ),
        Kind(
            "fee-pay",
            "payments",
            160.0,
            ("quota-read", "quota-read"),
            72.8,
            1_500,
            timeout_ms=1_000,
            worth=3.0,
            late_worth=1.0,
            priority=0,
            safe=False,
        ),
        Kind(
            "slot-book",
            "booking",
            84.0,
            (),
            49.6,
            250,
            1_000,
            timeout_ms=1_000,
            worth=3.0,
            late_worth=1.5,
            priority=0,
            safe=False,
        ),
        Kind(
            "status-check",
            "tracker",
            480.0,
            (),
            31.1,
            1_200,
            timeout_ms=2_500,
            worth=1.0,
            late_worth=0.5,
        ),
        Kind("fee-lookup", "payments", 15.0, ("quota-read",), timeout_ms=2_500),
        Kind("quota-read", "booking", 15.0, ("case-fetch",) * 4, timeout_ms=2_000),
        Kind("case-fetch", "tracker", 30.0, timeout_ms=700),
    ),
    bottleneck="tracker",
    retry_slack=50.0,
)

LARGE_NODES = 194
LARGE_UPSTREAMS = {"plans": 95, "porting": 69, "profiles": 20, "provisioning": 10}
LARGE_CONTENTION = {"provisioning": 1.3}
LARGE_SLOTS = {"plans": 15, "porting": 15, "profiles": 34, "provisioning": 18}


def large(nodes: int = LARGE_NODES) -> Site:
    """Return Brolga Connect on many nodes, under its load of a quiet day.

    :param nodes: the load, the services' shares of the nodes and the slots of each
        service as a whole stay the same, and upstreams are alike: with more nodes an
        entry node sends less, and gets a report of each upstream less often.
    """
    ratio = nodes / LARGE_NODES
    services = []
    for name, count in LARGE_UPSTREAMS.items():
        upstreams = max(1, round(count * ratio))
        slots = max(1, round(LARGE_SLOTS[name] * count / upstreams))
        crowded = LARGE_CONTENTION.get(name, 1.0)
        services.append(Service(name, slots, (1.0,) * upstreams, crowded))
    return Site(
        name="large" if nodes == LARGE_NODES else f"large-{nodes}",
        zones=("bne-a", "bne-b", "tsv", "cns", "mky"),
        caller_ms=3.0,
        services=tuple(services),
        kinds=_LARGE_KINDS,
        bottleneck="provisioning",
        retry_slack=213.0,
    )


_LARGE_KINDS = (
    Kind("plan-lookup", "plans", 220.0, ("account-state",), 278.0, 1_500, worth=1.0),
    Kind(
        "number-port",
        "porting",
        280.0,
        ("imsi-range", "imsi-range"),
        117.0,
        2_000,
        worth=3.0,
        late_worth=0.6,
        priority=0,
        safe=False,
    ),
    Kind("esim-profile", "profiles", 173.0, (), 42.0, 1_200, worth=1.0),
    Kind(
        "sim-provision",
        "provisioning",
        175.0,
        (),
        31.7,
        600,
        2_500,
        worth=1.0,
        safe=False,
    ),
    Kind("account-state", "porting", 15.0, ("imsi-range",), timeout_ms=2_500),
    Kind("imsi-range", "profiles", 15.0, ("stock-check",) * 4, timeout_ms=2_000),
    Kind("stock-check", "provisioning", 56.0, timeout_ms=700),
)

LARGE = large()

# The deployments of docs/design/heavy-load.md with a quarter of their nodes, load and
# retries: each service has a quarter of its slots as a whole.
LEDGER = Site(
    name="ledger",
    zones=("zone-a", "zone-b", "zone-c"),
    caller_ms=3.0,
    services=(
        Service("balances", 56, (0.5, 1.0, 1.5, 0.5, 1.0, 1.5)),
        Service("journal", 74, (0.7, 0.7, 1.6, 1.0)),
        Service("exports", 148, (0.7, 1.6)),
        Service("reports", 33, (0.5, 1.0, 1.5, 1.0), contention_factor=1.3),
    ),
    kinds=(
        Kind(
            "balance-read",
            "balances",
            220.0,
            ("post-verify",),
            172.0,
            1_500,
            worth=0.98,
            priority=1,
        ),
        Kind(
            "journal-post",
            "journal",
            282.0,
            ("export-index",),
            49.5,
            2_006,
            6_000,
            worth=3.0,
            late_worth=0.59,
            priority=1,
            safe=False,
        ),
        Kind(
            "ledger-export",
            "exports",
            170.0,
            (),
            24.5,
            802,
            3_000,
            worth=1.9,
            late_worth=0.22,
            priority=0,
        ),
        Kind(
            "trial-read",
            "reports",
            883.0,
            (),
            32.0,
            5_045,
            8_000,
            timeout_ms=8_000,
            worth=0.49,
            late_worth=0.22,
        ),
        Kind("post-verify", "journal", 15.0, ("export-index",), 0.0, 1_001),
        Kind(
            "export-index",
            "exports",
            15.0,
            ("coa-lookup",) * 4,
            target_ms=801,
            timeout_ms=2_500,
        ),
        Kind("coa-lookup", "reports", 54.8, target_ms=303, timeout_ms=700),
    ),
    bottleneck="reports",
    retry_slack=23.0,
    seconds=20.0,
)

DECLARATIONS = Site(
    name="declarations",
    zones=("zone-a", "zone-b", "zone-c"),
    caller_ms=3.0,
    services=(
        Service("nomenclature", 37, (0.55, 1.0, 1.2, 1.0, 1.0) * 2),
        Service("filing", 39, (0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 1.0)),
        Service("docvault", 136, (0.7, 1.6)),
        Service("tracer", 34, (0.6, 1.0, 1.4), contention_factor=1.3),
    ),
    kinds=(
        Kind(
            "tariff-query",
            "nomenclature",
            230.0,
            ("agent-verify",),
            131.0,
            2_001,
            6_000,
            worth=1.0,
            late_worth=0.5,
        ),
        Kind(
            "file-entry",
            "filing",
            300.0,
            ("pack-index",),
            47.8,
            2_000,
            6_000,
            worth=3.0,
            late_worth=1.0,
            priority=0,
            safe=False,
        ),
        Kind(
            "archive-pull",
            "docvault",
            181.0,
            (),
            20.0,
            1_004,
            4_000,
            worth=1.0,
            late_worth=0.5,
        ),
        Kind(
            "goods-status",
            "tracer",
            94.6,
            (),
            43.0,
            403,
            1_600,
            worth=2.0,
            late_worth=1.0,
            priority=1,
        ),
        Kind("agent-verify", "filing", 15.0, ("pack-index",), 0.0, 1_000),
        Kind(
            "pack-index",
            "docvault",
            15.1,
            ("state-feed",) * 4,
            target_ms=801,
            timeout_ms=2_500,
        ),
        Kind("state-feed", "tracer", 67.4, target_ms=302, timeout_ms=700),
    ),
    bottleneck="tracer",
    retry_slack=28.0,
    seconds=20.0,
)

SITES = {
    site.name: site
    for site in (
        BROLGA,
        COOPCARGA,
        MAWID,
        large(10),
        LARGE,
        large(400),
        LEDGER,
        DECLARATIONS,
    )
}
