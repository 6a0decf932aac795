"""Input of a caller's connection.

It is parsed in small steps and in turns with other connections, and only while there is
no reason to pause.
"""

import asyncio
import collections.abc
import enum
import typing

from gingerturn.internal.shell import turns

READ_BYTES = 16_384
"""Bytes that are read of a connection at once."""

STEP_BYTES = 1_024
"""Input that is parsed at once, which bounds how far a step goes beyond a pause."""

MAX_TURN_COST = 64
"""Cost of what is parsed in a turn, after which a connection waits for the next one."""

HEAD_COST = 16
"""Cost of the head of a request, which begins the work on it."""

PIECE_COST = 1
"""Cost of a piece of a body."""


class Pause(enum.Enum):
    """Why nothing is parsed or read of a connection."""

    PIPELINE = "enough requests are read ahead"
    BODY = "a body is not passed on yet, or lacks credit"
    TURN = "other connections have their turn"


class Input:
    """The input of one connection.

    Invariants: nothing is parsed while there is a reason to pause, and nothing is read
    from the transport while input waits to be parsed.

    :param node_turns: the turns of the node.
    :param parse: parses the next step of the input.
    :param step_bytes: returns how much of the input the next step is.
    :param parsed: called once all that may be parsed is.
    """

    def __init__(
        self,
        node_turns: turns.Turns,
        *,
        parse: collections.abc.Callable[[bytes], None],
        step_bytes: collections.abc.Callable[[], int],
        parsed: collections.abc.Callable[[], None],
    ) -> None:
        self._turns = node_turns
        self._parse = parse
        self._step_bytes = step_bytes
        self._parsed = parsed
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._waiting = b""
        self._pauses: set[Pause] = set()
        self._is_parsing = False
        self._is_reading = True
        self._is_closed = False
        self._turn_cost = 0

    @property
    def waiting_bytes(self) -> int:
        """Bytes that were read and are not parsed."""
        return len(self._waiting)

    @property
    def is_paused(self) -> bool:
        """Whether there is a reason to pause."""
        return bool(self._pauses)

    def is_paused_for(self, why: Pause) -> bool:
        """Whether there is this reason to pause."""
        return why in self._pauses

    def connect(self, transport: asyncio.Transport) -> None:
        """Set the transport that is read."""
        self._transport = transport

    def close(self) -> None:
        """Leave the transport alone from now on; what waits is not of use any more."""
        self._is_closed = True
        self._turns.forget(self)

    def receive(self, data: bytes) -> None:
        """Take what was read, and parse it unless there is a reason to pause."""
        self._waiting = self._waiting + data if self._waiting else data
        self._go_on()

    def pause(self, why: Pause) -> None:
        """Stop parsing and reading for a reason."""
        self._pauses.add(why)
        if not self._is_closed:
            self._is_reading = False
            self._transport.pause_reading()

    def resume(self, why: Pause) -> None:
        """End a reason to pause. Without another one, go on with the input that waits,
        and then with the transport."""
        self._pauses.discard(why)
        if not self._pauses:
            self._go_on()

    def add_cost(self, cost: int) -> None:
        """Count the cost of what was parsed."""
        self._turn_cost += cost

    def begin_turn(self) -> None:
        """Count the cost anew, unless the turn goes on."""
        if not (self._is_parsing or self._waiting):
            self._turn_cost = 0

    def _go_on(self) -> None:
        if self._is_parsing or self._is_closed:
            # Where it is being parsed, the outer call goes on.
            return
        self._is_parsing = True
        position = 0
        data, self._waiting = self._waiting, b""
        size = len(data)
        try:
            while position < size and not self._pauses:
                end = position + self._step_bytes()
                self._parse(data[position:end])
                position = end
                if self._turn_cost > MAX_TURN_COST and not self._is_closed:
                    self.pause(Pause.TURN)
                    self._turns.wait(self, self._take_turn)
        finally:
            self._is_parsing = False
            self._waiting = data[position:]
        self._parsed()
        if not (self._is_reading or self._pauses or self._is_closed):
            self._is_reading = True
            self._transport.resume_reading()

    def _take_turn(self) -> None:
        self._turn_cost = 0
        self.resume(Pause.TURN)
