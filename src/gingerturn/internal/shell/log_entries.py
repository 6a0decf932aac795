"""Entries of keyed streams: which ones a node uses, and paging through them.

The log has other writers and may answer anything, so paging ends whatever the pages
hold, and what cannot be used takes no memory.
"""

import asyncio
import collections.abc
import time
import typing

import msgspec

from gingerturn import errors, log_service
from gingerturn.internal.core import streams

ENTRIES_AT_ONCE = 256
"""Entries that are decoded before other work of the event loop has its turn."""

MAX_PAGES = 1_000
MAX_LISTED_BYTES = 16 << 20
"""Bytes of the records that one listing returns."""

MAX_LISTING_S = 30.0
"""Time after which a listing ends with what was read. It is shorter than the time-out
of a base read, which would discard that."""

MAX_KEY = 255
"""Bytes of a key."""

_T = typing.TypeVar("_T")

_REPLACED = "\N{REPLACEMENT CHARACTER}".encode()
"""In a key that is not the one in the log: the service could not encode it."""


Entries = collections.abc.Sequence[log_service.Entry]


class DecodedOnUse(Entries):
    """Entries of a page, each of which is decoded whenever it is used.

    :param items: the encoded entries.
    :param decode: decodes the item at an index.
    """

    def __init__(
        self,
        items: collections.abc.Sequence[_T],
        decode: collections.abc.Callable[[int, _T], log_service.Entry],
    ) -> None:
        self._count = len(items)

        def decode_at(index: int) -> log_service.Entry:
            return decode(index, items[index])

        self._decode = decode_at

    def __len__(self) -> int:
        return self._count

    def __getitem__(self, index: typing.Any) -> typing.Any:
        if isinstance(index, slice):
            return [self[i] for i in range(*index.indices(self._count))]
        if not -self._count <= index < self._count:
            raise IndexError(index)
        return self._decode(index % self._count)


class Page(msgspec.Struct, frozen=True):
    """A page of entries.

    :param end: offset after the newest record of the stream.
    :param oldest: oldest offset that is retained.
    :param has_more: whether entries of more keys follow.
    """

    entries: Entries
    end: int
    oldest: int = 0
    has_more: bool = False
    epoch: int = 0


ReadPage = collections.abc.Callable[[bytes], collections.abc.Awaitable[Page]]
"""Reads the page after a key; an empty key reads the first page."""


async def in_turns(
    items: collections.abc.Iterable[_T],
) -> collections.abc.AsyncIterator[_T]:
    """Iterate over the items, and let other work of the event loop have its turn."""
    for number, item in enumerate(items, 1):
        yield item
        if number % ENTRIES_AT_ONCE == 0:
            await asyncio.sleep(0)


class Usable:
    """The records of a stream that a node uses.

    :param stream: name of the stream.
    """

    def __init__(self, stream: str) -> None:
        self._stream = stream
        self._contents: list[bytes] = []
        self._skipped = log_service.NOTHING_SKIPPED
        self._skipped_count = 0
        self.size = 0

    @property
    def contents(self) -> tuple[bytes, ...]:
        """The record of each entry; empty for those that are not used."""
        return tuple(self._contents)

    @property
    def skipped(self) -> log_service.SkippedEntries:
        """The entries that are not used."""
        return msgspec.structs.replace(self._skipped, count=self._skipped_count)

    def add(self, entry: log_service.Entry) -> None:
        """Add an entry if it can be used."""
        problem = entry.problem or self._problem(entry.value)
        content = b"" if problem else entry.value
        if problem:
            self.skip(entry.key, entry.offset, problem)
        self._contents.append(content)
        self.size += len(content)

    def skip(self, key: bytes, offset: int, problem: str) -> None:
        """Add an entry that cannot be used."""
        self._skipped_count += 1
        if self._skipped_count <= log_service.MAX_EXAMPLES:
            self._skipped = self._skipped.and_entry(key, offset, problem)

    def _problem(self, value: bytes) -> str:
        if not value:
            # The key was deleted.
            return ""
        try:
            streams.decode_record(self._stream, value)
        except errors.DecodeError as error:
            return error.message
        return ""


async def records(
    stream: str, page: Page, *, first: int, held_ms: float
) -> log_service.Records:
    """Return the result of a read.

    :param first: offset of the first entry.
    """
    usable = Usable(stream)
    async for entry in in_turns(page.entries):
        usable.add(entry)
    return log_service.Records(
        first=first,
        oldest=page.oldest,
        end=page.end,
        contents=usable.contents,
        held_ms=held_ms,
        epoch=page.epoch,
        skipped=usable.skipped,
    )


async def read_newest(stream: str, read_page: ReadPage) -> log_service.Newest:
    """Read the newest record of each key, page by page.

    Pages are no snapshot: what changes meanwhile is read from the lowest end that a
    page names.

    :raises LogServiceError: if a page cannot be read.
    """
    usable = Usable(stream)
    began = time.monotonic()
    page = await read_page(b"")
    end, epoch = page.end, page.epoch
    pages_read = 1
    visited: set[bytes] = set()
    after = b""
    complete = True
    while True:
        keys: list[bytes] = []
        async for entry in in_turns(page.entries):
            usable.add(entry)
            keys.append(entry.key)
        end = min(end, page.end)
        if not page.has_more:
            break
        following = _next_place(keys, visited)
        elapsed_s = time.monotonic() - began
        problem = _paging_problem(following, pages_read, usable.size, elapsed_s)
        if problem:
            usable.skip(after, log_service.NO_OFFSET, problem)
            complete = False
            break
        is_listed = following in keys
        after = following
        visited.add(after)
        try:
            page = await read_page(after)
        except errors.LogServiceError as error:
            if is_listed:
                raise
            # The service may refuse a place that is none of its keys.
            usable.skip(
                after, log_service.NO_OFFSET, f"nothing is read behind: {error}"
            )
            complete = False
            break
        pages_read += 1
    return log_service.Newest(usable.contents, end, epoch, usable.skipped, complete)


def _next_place(keys: list[bytes], visited: set[bytes]) -> bytes:
    """Return the key after which the next page begins; empty if none can be used."""
    keys = [key for key in keys if key]
    exact = [key for key in keys if _REPLACED not in key]
    for key in (*exact[-1:], *keys[-1:], *map(_behind_prefix, keys[-1:])):
        if key not in visited:
            return key
    return b""


def _behind_prefix(key: bytes) -> bytes:
    """Return a place behind all keys with the known beginning of a key."""
    prefix, replaced, _ = key.partition(_REPLACED)
    return prefix[:MAX_KEY].ljust(MAX_KEY, b"\xff") if replaced else key


def _paging_problem(
    following: bytes, pages_read: int, size: int, elapsed_s: float
) -> str:
    """Return why the entries behind a page are not read; empty if they are."""
    if not following:
        return "its page has more entries, but no new key to continue from"
    if pages_read >= MAX_PAGES:
        return f"more than {MAX_PAGES} pages behind it"
    if size > MAX_LISTED_BYTES:
        return f"records of more than {MAX_LISTED_BYTES} bytes before its end"
    if elapsed_s >= MAX_LISTING_S:
        return f"more than {MAX_LISTING_S:g} s for the pages before its end"
    return ""
