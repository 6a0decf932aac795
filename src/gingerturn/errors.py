"""Every error that gingerturn raises on purpose.

An error carries the step at which it arose and the peer it concerns, so that a
log line or a command's message can name both without parsing text.
"""


class GingerturnError(Exception):
    """Base of all errors raised on purpose.

    :param message: what was wrong and what to do, one sentence.
    :param step: the step at which the error arose, such as ``read settings``.
    :param peer: the file, node or address concerned; empty when there is none.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = ", ".join(part for part in (self.step, self.peer) if part)
        if not where:
            return self.message
        return f"{where}: {self.message}"


class InvalidArgument(GingerturnError):
    """An argument at a public boundary has a value that is not allowed."""


class InvalidDocument(InvalidArgument):
    """A settings or configuration file, or another message, is refused as a whole.

    :param problems: every problem found, each with its file and line.
    """

    def __init__(self, problems: list[str], *, step: str, peer: str) -> None:
        super().__init__("\n".join(problems), step=step, peer=peer)
        self.problems = problems


class FrameError(GingerturnError):
    """Bytes from a peer are not a frame of the protocol between nodes."""


class AuthenticationError(GingerturnError):
    """A peer did not prove that it knows the shared secret."""


class LogServiceError(GingerturnError):
    """The log service did not do what was asked.

    :param took_effect: ``False`` only when it is certain that nothing was
        appended; ``None`` when that cannot be known.
    :param epoch: the log's epoch that the refusal told; 0 where there was none.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        took_effect: bool | None,
        epoch: int = 0,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.took_effect = took_effect
        self.epoch = epoch


class PublishRefused(GingerturnError):
    """A publication was refused: a conflict, a bad document, or no permission."""
