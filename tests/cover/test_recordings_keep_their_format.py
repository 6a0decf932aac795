"""Encoding of recordings and datagrams stays compatible with earlier versions.

Structs are encoded as arrays, so only tags and the order of fields matter.
"""

import io

import msgspec
import pytest

from gingerturn import log_service
from gingerturn.internal import ids
from gingerturn.internal.core import effects, events, messages, trace
from gingerturn.internal.wire import datagrams

N2 = ids.NodeId("n2")
KIND = ids.KindName("plan-status")
PLANS = ids.ServiceName("plans")
REPORT = messages.LoadReport(
    level=ids.Rank(7),
    tree_level=ids.Rank(9),
    load=3,
    limit=4,
    leaving=True,
    bottleneck=PLANS,
    bottleneck_slot_ms=2.5,
    bottleneck_level=ids.Rank(11),
    bottleneck_age_ms=30.0,
)
STATUS = messages.BackendStatus(
    instance="i", rate_limit=2.5, leaving=True, started_ms=7
)
METADATA = messages.CallMetadata(
    service=PLANS,
    kind=KIND,
    importance=2,
    depth=1,
    root=ids.RootHash(5),
    trace="t",
    deadline_ms=800.0,
    tokens=3,
    repeatable=True,
    key="k",
    key_derived=True,
    never_ran=False,
    ticket="n1/1",
    repeat=True,
    fingerprint=ids.Fingerprint(6),
    workspace=ids.WorkspaceName("shop"),
)
REFUSAL = messages.Refusal(
    rule=13,
    outcome=messages.Outcome.UNKNOWN,
    retry_after_ms=250.0,
    decision="n2:1",
    holder="n3/1",
    reached_backend=True,
    had_free_slots=False,
)
QUARANTINE = messages.QuarantineGossip(
    crashes=(
        messages.BackendCrash(
            node=N2,
            incarnation=ids.Incarnation(1),
            number=4,
            part=0,
            requests=(6, 8),
            age_ms=20.0,
        ),
    ),
    updates=(messages.QuarantineUpdate(request=6, crash_count=3, age_ms=40.0),),
    digest=12,
)
CAP_REQUEST = messages.CapRequest(
    number=5,
    stamp=90.0,
    demands=(
        messages.CapDemand(
            workspace="shop",
            rate_milli=1500,
            leased_milli=1200,
            waiting=2,
            overflowed_milli=300,
        ),
    ),
)
CAP_ANSWER = messages.CapAnswer(
    number=5,
    stamp=95.0,
    leases=(
        messages.CapLease(workspace="shop", rate_milli=1400, tokens=1, short=True),
    ),
    allocator="n4",
    released=True,
)
CAP_HANDOVER = messages.CapHandover(
    share=0.75,
    delegations=(("n5", 400.0),),
    used=(messages.CapUsage(workspace="shop", first=8, slices_milli=(100, 200)),),
)


def _gossip(
    caps: messages.CapMessage,
    *,
    read_age_ms: float = 70.0,
    without_updates: bool = True,
) -> messages.Gossip:
    return messages.Gossip(
        kind=messages.GossipKind.CAPS,
        sequence=3,
        revision=ids.Revision(2),
        members=(),
        target="n2",
        cursor="n9",
        route_version=4,
        quarantine=QUARANTINE,
        verified_age_ms=60.0,
        caps=caps,
        log_epoch=ids.LogEpoch(1),
        config_digest=21,
        read_age_ms=read_age_ms,
        without_updates=without_updates,
    )


EVENTS: list[tuple[events.AnyEvent, str]] = [
    (
        events.OpenReceived(
            now=1.0, hosted=ids.HostedId(8), sender=N2, metadata=METADATA
        ),
        "95ac4f70656e5265636569766564cb3ff000000000000008a26e32dc0012a570"
        "6c616e73ab706c616e2d737461747573020105a174cb408900000000000003c3"
        "a16bc3c2a46e312f31c306a473686f70c0c2",
    ),
    (
        events.LevelRequested(now=1.0, request=4, kind=KIND),
        "94aa4c6576656c41736b6564cb3ff000000000000004ab706c616e2d737461747573",
    ),
    (
        events.LevelReported(now=1.0, node=N2, kind=KIND, report=REPORT),
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739d07090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "0000c0900000",
    ),
    (
        events.AttemptRefused(
            now=1.0, attempt=ids.AttemptId(6), refusal=REFUSAL, tokens=2, report=REPORT
        ),
        "96ae417474656d707452656675736564cb3ff000000000000006970da7756e6b"
        "6e6f776ecb406f400000000000a46e323a31a46e332f31c3c2029d07090304c3"
        "a5706c616e73cb40040000000000000bcb403e000000000000c0900000",
    ),
    (
        events.LevelReported(
            now=1.0,
            node=N2,
            kind=KIND,
            report=msgspec.structs.replace(REPORT, status=STATUS),
        ),
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739d07090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "000094a169cb4004000000000000c307900000",
    ),
    (
        events.LevelReported(
            now=1.0,
            node=N2,
            kind=KIND,
            report=msgspec.structs.replace(
                REPORT, bottleneck_factors=((ids.WorkspaceName("shop"), 2_500),)
            ),
        ),
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739d07090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "0000c09192a473686f70cd09c40000",
    ),
    (
        events.LevelReported(
            now=1.0,
            node=N2,
            kind=KIND,
            report=msgspec.structs.replace(REPORT, pace=250, pace_age_ms=40),
        ),
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739d07090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "0000c090ccfa28",
    ),
    (
        events.BackendAnswered(now=1.0, hosted=ids.HostedId(8), status=200),
        "97af4261636b656e64416e737765726564cb3ff000000000000008ccc8c3c3c0",
    ),
    (
        events.BackendAnswered(
            now=1.0,
            hosted=ids.HostedId(8),
            status=200,
            load=messages.BackendLoad(running=5, waiting=1, slots=9, pace=250),
        ),
        "97af4261636b656e64416e737765726564cb3ff000000000000008ccc8c3c394050109ccfa",
    ),
    (
        events.OpenReceived(
            now=1.0,
            hosted=ids.HostedId(8),
            sender=N2,
            metadata=msgspec.structs.replace(METADATA, status=STATUS),
        ),
        "95ac4f70656e5265636569766564cb3ff000000000000008a26e32dc0012a570"
        "6c616e73ab706c616e2d737461747573020105a174cb408900000000000003c3"
        "a16bc3c2a46e312f31c306a473686f7094a169cb4004000000000000c307c2",
    ),
    (
        events.BackendReported(
            now=1.0, hosted=ids.HostedId(8), rate_limit=2.5, leaving=True
        ),
        "95af4261636b656e645265706f72746564cb3ff000000000000008cb4004000000000000c3",
    ),
    (
        events.BackendFailed(now=1.0, hosted=ids.HostedId(8), dispatched=True),
        "94ad4261636b656e644661696c6564cb3ff000000000000008c3",
    ),
    (
        events.LogRead(
            now=1.0,
            stream="members",
            first=2,
            records=(b"r",),
            oldest=1,
            end=3,
            requested_at=0.5,
            held_open_ms=0.25,
            extra=True,
            missing=False,
            generation=7,
            epoch=ids.LogEpoch(9),
        ),
        "9da74c6f6752656164cb3ff0000000000000a76d656d626572730291c4017201"
        "03cb3fe0000000000000cb3fd0000000000000c3c20709",
    ),
    (
        events.NewestRead(
            now=1.0,
            stream="members",
            records=(b"r",),
            end=3,
            requested_at=0.5,
            generation=7,
            epoch=ids.LogEpoch(9),
        ),
        "99aa4e657765737452656164cb3ff0000000000000a76d656d6265727391c401"
        "7203cb3fe00000000000000709c3",
    ),
    (
        events.EntriesSkipped(
            now=1.0,
            stream="members",
            skipped=log_service.NOTHING_SKIPPED.and_entry(b"k", 7, "no record"),
        ),
        "94ae456e7472696573536b6970706564cb3ff0000000000000a76d656d626572"
        "7392019193c4016b07a96e6f207265636f7264",
    ),
    (
        events.DatagramReceived(
            now=1.0, sender=N2, host="h", port=1, message=_gossip(CAP_REQUEST)
        ),
        "96b0446174616772616d5265636569766564cb3ff0000000000000a26e32a168"
        "019ea463617073030290a26e32a26e3904939196a26e32010400920608cb4034"
        "00000000000091930603cb40440000000000000ccb404e00000000000094a643"
        "617041736b05cb40568000000000009195a473686f70cd05dccd04b002cd012c"
        "0115cb4051800000000000c3",
    ),
]
EARLIER_EVENTS: list[tuple[str, str]] = [
    (
        "OpenReceived",
        "95ac4f70656e5265636569766564cb3ff000000000000008a26e32dc0010a570"
        "6c616e73ab706c616e2d737461747573020105a174cb408900000000000003c3"
        "a16bc3c2a46e312f31c306a473686f70",
    ),
    (
        "OpenReceived",
        "95ac4f70656e5265636569766564cb3ff000000000000008a26e32dc0011a570"
        "6c616e73ab706c616e2d737461747573020105a174cb408900000000000003c3"
        "a16bc3c2a46e312f31c306a473686f70c0",
    ),
    (
        "LevelReported",
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739907090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "0000",
    ),
    (
        "LevelReported",
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739a07090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "0000c0",
    ),
    (
        "AttemptRefused",
        "96ae417474656d707452656675736564cb3ff000000000000006970da7756e6b"
        "6e6f776ecb406f400000000000a46e323a31a46e332f31c3c2029a07090304c3"
        "a5706c616e73cb40040000000000000bcb403e000000000000c0",
    ),
    (
        "BackendAnswered",
        "96af4261636b656e64416e737765726564cb3ff000000000000008ccc8c3c3",
    ),
    (
        "AttemptRefused",
        "96ae417474656d707452656675736564cb3ff000000000000006970da7756e6b"
        "6e6f776ecb406f400000000000a46e323a31a46e332f31c3c2029907090304c3"
        "a5706c616e73cb40040000000000000bcb403e000000000000",
    ),
    (
        "DatagramReceived",
        "96b0446174616772616d5265636569766564cb3ff0000000000000a26e32a168"
        "019ca463617073030290a26e32a26e3904939196a26e32010400920608cb4034"
        "00000000000091930603cb40440000000000000ccb404e00000000000094a643"
        "617041736b05cb40568000000000009195a473686f70cd05dccd04b002cd012c"
        "0115",
    ),
    (
        "LevelReported",
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739a07090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "0000c0",
    ),
    (
        "AttemptRefused",
        "96ae417474656d707452656675736564cb3ff000000000000006970da7756e6b"
        "6e6f776ecb406f400000000000a46e323a31a46e332f31c3c2029a07090304c3"
        "a5706c616e73cb40040000000000000bcb403e000000000000c0",
    ),
    (
        "LevelReported with status",
        "95a94c6576656c546f6c64cb3ff0000000000000a26e32ab706c616e2d737461"
        "7475739a07090304c3a5706c616e73cb40040000000000000bcb403e00000000"
        "000094a169cb4004000000000000c307",
    ),
    (
        "NewestRead",
        "98aa4e657765737452656164cb3ff0000000000000a76d656d6265727391c401"
        "7203cb3fe00000000000000709",
    ),
]
"""The same events as recorded before load reports and calls carried a status, load
reports the share factors of workspaces, load reports, calls and answers of backend
servers anything of the pace, membership messages the age of what is known of the log,
and base reads whether they are complete."""

EFFECTS: list[tuple[effects.AnyEffect, str]] = [
    (
        effects.OpenAttempt(
            attempt=ids.AttemptId(6),
            call=ids.CallId(5),
            node=N2,
            host="h",
            port=1,
            metadata=METADATA,
        ),
        "97ab4f70656e417474656d70740605a26e32a16801dc0012a5706c616e73ab70"
        "6c616e2d737461747573020105a174cb408900000000000003c3a16bc3c2a46e"
        "312f31c306a473686f70c0c2",
    ),
    (
        effects.DispatchCall(
            hosted=ids.HostedId(8),
            host="h",
            port=1,
            span=ids.SpanId("s"),
            deadline_ms=800.0,
            instance="i",
        ),
        "97a848616e644f76657208a16801a173cb4089000000000000a169",
    ),
    (
        effects.SendAnswer(
            hosted=ids.HostedId(8),
            tokens=2,
            report=REPORT,
            decision="n2:1",
            store_key="k",
            child_failed=True,
        ),
        "97aa53656e64416e7377657208029d07090304c3a5706c616e73cb4004000000"
        "0000000bcb403e000000000000c0900000a46e323a31a16bc3",
    ),
    (
        effects.SendStoredAnswer(
            hosted=ids.HostedId(8), key="k", tokens=2, report=REPORT, decision="n2:1"
        ),
        "96ae53656e644b657074416e7377657208a16b029d07090304c3a5706c616e73"
        "cb40040000000000000bcb403e000000000000c0900000a46e323a31",
    ),
    (
        effects.StoreAnswer(hosted=ids.HostedId(8), key="k"),
        "93aa4b656570416e7377657208a16b",
    ),
    (
        effects.DeleteStoredAnswer(key="k"),
        "92ac466f72676574416e73776572a16b",
    ),
    (
        effects.RequestLevel(node=N2, host="h", port=1, kind=KIND),
        "95a841736b4c6576656ca26e32a16801ab706c616e2d737461747573",
    ),
    (
        effects.ReportLevel(request=4, report=REPORT),
        "93a954656c6c4c6576656c049d07090304c3a5706c616e73cb40040000000000"
        "000bcb403e000000000000c0900000",
    ),
    (
        effects.ReadLog(
            stream="members",
            offset=2,
            wait=True,
            long_poll_ms=500,
            extra=True,
            generation=7,
            timeout_ms=300,
        ),
        "98a7526561644c6f67a76d656d6265727302c3cd01f4c307cd012c",
    ),
]
CAP_MESSAGES: list[tuple[messages.CapMessage, str]] = [
    (
        CAP_REQUEST,
        "94a643617041736b05cb40568000000000009195a473686f70cd05dccd04b002cd012c",
    ),
    (
        CAP_ANSWER,
        "96a9436170416e7377657205cb4057c000000000009194a473686f70cd057801c3a26e34c3",
    ),
    (
        CAP_HANDOVER,
        "94ab43617048616e646f766572cb3fe80000000000009192a26e35cb40790000"
        "000000009193a473686f70089264ccc8",
    ),
]
DATAGRAMS: list[tuple[messages.CapMessage, str]] = [
    (
        CAP_REQUEST,
        "f8b803d324622a34591e2722dbd43b331024500707e0408f4013050103010201"
        "04c10cf0fd1101150c0cfd11191a11650711151a11151a11292f114917310d1a"
        "01036e31036e32036e39ff94a643617041736b001f05cb405680fc9195a47368"
        "6fff70cd05dccd04b0020007cd012c5104030201010104011411051a11056203"
        "6e32200608081104020106110328500405",
    ),
    (
        CAP_ANSWER,
        "d1decdd54f831e19c01241afdc0e02471024500707e0408f4013050103010201"
        "04c10cf0fd1101150c0cfd11191a11650711151a11151a11292f114917310d2a"
        "01036e31036e32036e39ff96a9436170416e730177657205cb4057c0e09194a4"
        "ff73686f70cd057801001fc3a26e34c35104030201010104011411051a110562"
        "036e32200608081104020106110328500405",
    ),
    (
        CAP_HANDOVER,
        "baa7068512eaba87ccc7de302571097d1025500707e0408f4013050103010201"
        "04c10cf0fd1101150c0cfd11191a11690711151a11151a112d2f114d17310d82"
        "01036e31036e32036e39ff94ab43617048616e01646f766572cb3fe8c091923f"
        "a26e35cb4079f09193a473ff686f70089264ccc8005104030201010104011411"
        "051a110562036e32200608081104020106110328500405",
    ),
]

DATAGRAMS_WITHOUT_DEPARTURES: list[tuple[messages.CapMessage, str]] = [
    (
        CAP_REQUEST,
        "121d54efbbfbe2bdd152be3889f8ba301024500707e0408f4013050103010201"
        "04c10cf0fd1101150c0cfd11191a11650711151a11151a11292f114917310d1a"
        "01036e31036e32036e39ff94a643617041736b001f05cb405680fc9195a47368"
        "6fff70cd05dccd04b0020007cd012c5104030201010104011411051a11056203"
        "6e32200608081104020106110328500404",
    ),
    (
        CAP_ANSWER,
        "f6ff743407bd3d938a8ba32d161c9ea91024500707e0408f4013050103010201"
        "04c10cf0fd1101150c0cfd11191a11650711151a11151a11292f114917310d2a"
        "01036e31036e32036e39ff96a9436170416e730177657205cb4057c0e09194a4"
        "ff73686f70cd057801001fc3a26e34c35104030201010104011411051a110562"
        "036e32200608081104020106110328500404",
    ),
    (
        CAP_HANDOVER,
        "303fd75631be73d8114ff8abacf3c55f1025500707e0408f4013050103010201"
        "04c10cf0fd1101150c0cfd11191a11690711151a11151a112d2f114d17310d82"
        "01036e31036e32036e39ff94ab43617048616e01646f766572cb3fe8c091923f"
        "a26e35cb4079f09193a473ff686f70089264ccc8005104030201010104011411"
        "051a110562036e32200608081104020106110328500404",
    ),
]
"""The same datagrams, sent before members carried departures."""

EARLIER_DATAGRAMS: list[tuple[messages.CapMessage, str]] = [
    (
        CAP_REQUEST,
        "5b8bbace7a46bb62bc0820e20d40e24e1023500607e0408f4011050301020104"
        "c10cf0fd11011511191a11650711151a11151a11292f114917310d1a01036e31"
        "036e32036e39ff94a643617041736b001f05cb405680fc9195a473686fff70cd"
        "05dccd04b0020007cd012c5104030201010104011411051a110562036e322006"
        "08081104020106110328500404",
    ),
    (
        CAP_ANSWER,
        "24880148acde2f6c4863dadebc58bd5b1023500607e0408f4011050301020104"
        "c10cf0fd11011511191a11650711151a11151a11292f114917310d2a01036e31"
        "036e32036e39ff96a9436170416e730177657205cb4057c0e09194a4ff73686f"
        "70cd057801001fc3a26e34c35104030201010104011411051a110562036e3220"
        "0608081104020106110328500404",
    ),
    (
        CAP_HANDOVER,
        "43f7b26f1257a8cbba7228c4f09535731024500607e0408f4011050301020104"
        "c10cf0fd11011511191a11690711151a11151a112d2f114d17310d8201036e31"
        "036e32036e39ff94ab43617048616e01646f766572cb3fe8c091923fa26e35cb"
        "4079f09193a473ff686f70089264ccc8005104030201010104011411051a1105"
        "62036e32200608081104020106110328500404",
    ),
]
"""The same datagrams, sent before they carried the age of what is known of the log."""


def _name(value: object) -> str:
    return type(value).__name__ if isinstance(value, msgspec.Struct) else "bytes"


@pytest.mark.parametrize(("event", "recorded"), EVENTS, ids=_name)
def test_an_event_is_recorded_as_before(event: events.AnyEvent, recorded: str) -> None:
    content = bytes.fromhex(recorded)
    framed = len(content).to_bytes(4, "big") + content
    target = io.BytesIO()
    trace.Recorder(target).record(event)
    assert target.getvalue() == framed
    assert list(trace.read(io.BytesIO(framed))) == [event]


@pytest.mark.parametrize(("name", "recorded"), EARLIER_EVENTS)
def test_an_event_in_an_earlier_form_is_still_read(name: str, recorded: str) -> None:
    content = bytes.fromhex(recorded)
    framed = len(content).to_bytes(4, "big") + content
    type_name, _, form = name.partition(" with ")
    expected = next(
        event
        for event, _ in EVENTS
        if type(event).__name__ == type_name
        and (not form or getattr(event.report, form) is not None)
    )
    if isinstance(expected, events.DatagramReceived):
        earlier = _gossip(CAP_REQUEST, read_age_ms=-1.0, without_updates=False)
        expected = msgspec.structs.replace(expected, message=earlier)
    assert list(trace.read(io.BytesIO(framed))) == [expected]


@pytest.mark.parametrize(("effect", "encoded"), EFFECTS, ids=_name)
def test_an_effect_is_encoded_as_before(
    effect: effects.AnyEffect, encoded: str
) -> None:
    assert trace.encode_effects([effect]) == b"\x91" + bytes.fromhex(encoded)


@pytest.mark.parametrize(("message", "encoded"), CAP_MESSAGES, ids=_name)
def test_a_cap_message_is_encoded_as_before(
    message: messages.CapMessage, encoded: str
) -> None:
    content = bytes.fromhex(encoded)
    assert msgspec.msgpack.encode(message) == content
    assert msgspec.msgpack.decode(content, type=messages.CapMessage) == message


@pytest.mark.parametrize(("caps", "datagram"), DATAGRAMS, ids=_name)
def test_a_datagram_is_encoded_as_before(
    caps: messages.CapMessage, datagram: str
) -> None:
    content = bytes.fromhex(datagram)
    message = _gossip(caps)
    assert datagrams.encode(b"secret", ids.NodeId("n1"), 1_000.0, message) == content
    assert datagrams.decode([b"secret"], content) == ("n1", 1_000.0, message)


@pytest.mark.parametrize(("caps", "datagram"), EARLIER_DATAGRAMS, ids=_name)
def test_a_datagram_in_an_earlier_form_is_still_read(
    caps: messages.CapMessage, datagram: str
) -> None:
    message = _gossip(caps, read_age_ms=-1.0, without_updates=False)
    decoded = datagrams.decode([b"secret"], bytes.fromhex(datagram))
    assert decoded == ("n1", 1_000.0, message)


@pytest.mark.parametrize(("caps", "datagram"), DATAGRAMS_WITHOUT_DEPARTURES, ids=_name)
def test_a_datagram_without_departures_is_still_read(
    caps: messages.CapMessage, datagram: str
) -> None:
    decoded = datagrams.decode([b"secret"], bytes.fromhex(datagram))
    assert decoded == ("n1", 1_000.0, _gossip(caps))
