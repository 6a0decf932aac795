"""What backend servers wrote of the requests that came to them.

They write a line before they begin to work on a request, so that a killed one leaves
no gap between what ran and what is told.
"""

import collections
import pathlib

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """One line of a backend server.

    :param event: ``arrived``, ``run`` or ``acknowledged`` (that it leaves).
    :param at: milliseconds since the epoch.
    """

    event: str
    at: float
    instance: str
    service: str
    id: str = ""


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
        self.arrivals = collections.Counter(
            e.id for e in self.entries if e.event == "arrived"
        )

    def of(self, event: str) -> list[Entry]:
        """Return the entries of one event."""
        return [entry for entry in self.entries if entry.event == event]
