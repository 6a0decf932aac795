"""What follows from an event that could not be applied, or an effect that could not be
carried out: the failure that the core expects, or an answer to whoever waits.

Calls for which there is none end at their deadlines.
"""

import typing

from gingerturn.internal.core import effects, events
from gingerturn.internal.shell import clock, supervision

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


def outcome(node: "nodes.Node", event: events.Event) -> supervision.Failed | None:
    """Return what is to be done for an event that was not applied, or only in part."""
    match event:
        case events.LogRead() | events.NewestRead():
            failed = events.LogReadFailed(
                now=event.now,
                stream=event.stream,
                extra=isinstance(event, events.LogRead) and event.extra,
                generation=event.generation,
                unapplied=True,
            )
            return lambda: node.apply(failed)
        case events.PutDone(put=put):
            return lambda: node.apply(events.PutFailed(now=clock.now(), put=put))
        case events.AppendDone() | events.AppendFailed(unapplied=False):
            certain = isinstance(event, events.AppendFailed) and event.certain
            lost = events.AppendFailed(
                now=event.now, append=event.append, certain=certain, unapplied=True
            )
            return lambda: node.apply(lost)
        case events.CallArrived(call=call):
            return lambda: node.entry.refuse_unapplied(call)
        case (
            events.OpenReceived(hosted=hosted)
            | events.BackendAnswered(hosted=hosted)
            | events.UnprovenRefusal(hosted=hosted)
        ):
            return lambda: node.home.break_off(hosted)
        case events.AttemptAnswered(attempt=attempt):
            return lambda: node.entry.abort_answer(attempt)
    return None


def on_effect_failed(node: "nodes.Node", effect: effects.Effect) -> None:
    """Report or answer what an effect would have."""
    match effect:
        case effects.ReadLog() | effects.ReadNewest():
            extra = isinstance(effect, effects.ReadLog) and effect.extra
            node.apply(
                events.LogReadFailed(
                    now=clock.now(),
                    stream=effect.stream,
                    extra=extra,
                    generation=effect.generation,
                )
            )
        case effects.PutRecord(put=put):
            node.apply(events.PutFailed(now=clock.now(), put=put))
        case effects.Append(append=append):
            node.apply(
                events.AppendFailed(now=clock.now(), append=append, certain=False)
            )
        case effects.OpenAttempt(attempt=attempt):
            node.entry.lose_attempt(attempt)
        case effects.RelayAnswer(attempt=attempt):
            node.entry.abort_answer(attempt)
        case effects.RefuseCall(call=call):
            node.entry.close_connection(call)
        case effects.DispatchCall(hosted=hosted):
            node.home.fail_dispatch(hosted)
        case (
            effects.SendAnswer(hosted=hosted)
            | effects.SendStoredAnswer(hosted=hosted)
            | effects.SendRefusal(hosted=hosted)
        ):
            node.home.break_off(hosted)
        case effects.CheckBackend():
            node.apply(events.BackendChecked(now=clock.now(), refused=False))
