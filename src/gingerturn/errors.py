"""Errors that gingerturn raises.

An error carries the step that failed and the peer concerned, so that log lines and
commands can name both without parsing text.
"""


class GingerturnError(Exception):
    """Base class of all errors of gingerturn.

    :param message: the problem and its remedy, in one sentence.
    :param step: the step that failed, such as ``read settings``.
    :param peer: the file, node or address concerned; empty if there is none.
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
    """An argument of the public API has a value that is not allowed."""


class InvalidDocument(InvalidArgument):
    """A settings file, a configuration document or a message is invalid.

    :param problems: all problems found, each with its file and line.
    """

    def __init__(self, problems: list[str], *, step: str, peer: str) -> None:
        super().__init__("\n".join(problems), step=step, peer=peer)
        self.problems = problems


class IncompleteDocument(InvalidDocument):
    """A document is missing, cannot be read to its end or lacks a part.

    It may be in the middle of being written.
    """


class DecodeError(GingerturnError):
    """Input of another program cannot be decoded.

    :param is_complete: whether it is more than the beginning of a valid input.
    """

    def __init__(self, message: str, *, is_complete: bool = True) -> None:
        super().__init__(message)
        self.is_complete = is_complete


class FrameError(GingerturnError):
    """Bytes from a peer are not a valid frame."""


class AuthenticationError(GingerturnError):
    """A peer did not prove that it knows the shared secret."""


class LogServiceError(GingerturnError):
    """A request to the log service failed.

    :param took_effect: ``False`` only if it is certain that nothing was appended;
        ``None`` if unknown.
    :param epoch: log epoch in the response; 0 if there was none.
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
    """A publication was refused: conflict, invalid document or missing permission."""
