"""The requests that backend servers logged.

A backend server logs a request before it runs it, so that the log of a killed one is
complete.
"""

import collections
import pathlib

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """One line of a backend server's log.

    :param event: ``arrived``, ``run``, ``acknowledged`` (its drain) or ``limit`` (the
        rate limit that answers report from then on, as ``id``; empty for none).
    :param at: milliseconds since the epoch.
    :param reached: when its head had arrived, of a request; its body may arrive later.
    """

    event: str
    at: float
    instance: str
    service: str
    id: str = ""
    reached: float = 0.0


class Ledger:
    """All entries of a run.

    :param files: logs of the backend servers.
    """

    def __init__(self, files: list[pathlib.Path]) -> None:
        self.entries: list[Entry] = []
        for file in files:
            for raw in file.read_bytes().splitlines():
                if raw.startswith(b'{"event"'):
                    self.entries.append(msgspec.json.decode(raw, type=Entry))
        self.entries.sort(key=lambda entry: entry.at)
        self.runs = collections.Counter(e.id for e in self.entries if e.event == "run")
        self.arrived: dict[str, list[Entry]] = collections.defaultdict(list)
        for entry in self.of("arrived"):
            self.arrived[entry.id].append(entry)
        self.arrivals = collections.Counter(
            {number: len(entries) for number, entries in self.arrived.items()}
        )

    def of(self, event: str) -> list[Entry]:
        """Return the entries of one event."""
        return [entry for entry in self.entries if entry.event == event]
