"""Reads what comes from outside the process. What can't be used is an outcome, never an exception.

Rows of the store, messages of other nodes, reports of targets, headers and files may come from
another writer. The forms of these state what a value may be, so that nothing fails later in
arithmetic, in a header or in a wait.
"""

import base64
import collections.abc
import dataclasses
import logging
import math
import re
import typing
import zlib

import msgspec
from returns import result

from ebonyvalve.process import decision, identity

Form = typing.TypeVar("Form")

# Whole numbers up to this are exact in every reader of JSON.
MAX_COUNT = 2**53 - 1
# Far above any real figure, far below where sums lose whole seconds.
MAX_SECONDS = 1e12
MAX_SLOTS = 1_000_000
MAX_LOAD = 1e9
MAX_NAME_BYTES = 256
MAX_CAUSE_CHARS = 200
MAX_UNREADABLE_ROWS = 1000
MAX_PORT = 65_535

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
KeySlot = typing.Annotated[int, msgspec.Meta(ge=0, le=identity.LAST_SLOT)]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
Load = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_LOAD)]

# Everything that reading bytes, text or numbers of any content may raise.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
HOST_LABEL = r"[0-9A-Za-z_](?:[0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?"
HOST_PATTERN = re.compile(rf"(?:{HOST_LABEL}(?:\.{HOST_LABEL})*|\[[0-9A-Fa-f:.]+\])\Z")
JSON_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
OPENING_BRACKETS = (b"[", b"{")


@dataclasses.dataclass(kw_only=True)
class UnreadableRows:
    """Rows that can't be used, each with the version that was logged."""

    versions: dict[str, int] = dataclasses.field(default_factory=dict)


def record_unreadable(
    unreadable: UnreadableRows, log: logging.Logger, row: str, version: int, cause: str
) -> None:
    """Note a row that can't be used, and log it once for each of its versions.

    :param unreadable: the state.
    :param log: the module's logger.
    :param row: names the row.
    :param version: its version.
    :param cause: what is wrong with it.
    """
    if unreadable.versions.get(row) == version:
        return
    unreadable.versions[row] = version
    if len(unreadable.versions) > MAX_UNREADABLE_ROWS:
        del unreadable.versions[next(iter(unreadable.versions))]
    decision.record(log, logging.ERROR, "row-unreadable", row=row, version=version, cause=cause)


def is_unreadable(unreadable: UnreadableRows, row: str) -> bool:
    """Return whether a row can't be used.

    :param unreadable: the state.
    :param row: names the row.
    """
    return row in unreadable.versions


def record_readable(unreadable: UnreadableRows, row: str, version: int) -> None:
    """Note that a row can be used, or is gone.

    :param unreadable: the state.
    :param row: names the row.
    :param version: its version; an earlier one than that of the unreadable row says nothing.
    """
    if unreadable.versions.get(row, version) <= version:
        unreadable.versions.pop(row, None)


def forget_missing(
    unreadable: UnreadableRows, table: str, present: collections.abc.Container[str]
) -> None:
    """Forget the rows of a table that are gone.

    :param unreadable: the state.
    :param table: names the table.
    :param present: the names of all its rows.
    """
    for row in list(unreadable.versions):
        if row.startswith(f"{table}/") and row not in present:
            del unreadable.versions[row]


def accept_any(_: object) -> str:
    """Return that nothing is wrong with a value of its form."""
    return ""


def decode(
    body: bytes | msgspec.Raw,
    form: type[Form],
    find_fault: collections.abc.Callable[[Form], str] = accept_any,
) -> result.Result[Form, str]:
    """Return the value of a JSON text, or what is wrong with it.

    :param body: the text.
    :param form: the type of the value.
    :param find_fault: returns what the form alone can't refuse, or an empty text.
    """
    try:
        value = msgspec.json.decode(body, type=form)
        fault = find_fault(value)
    except DECODE_ERRORS as exc:
        fault = describe_error(exc)
    return result.Failure(fault[:MAX_CAUSE_CHARS]) if fault else result.Success(value)


def convert(tree: object, form: type[Form]) -> result.Result[Form, str]:
    """Return the value of a tree of plain objects, or what is wrong with it.

    :param tree: the objects, as a reader of another format returns them.
    :param form: the type of the value.
    """
    try:
        return result.Success(msgspec.convert(tree, form, strict=False))
    except DECODE_ERRORS as exc:
        return result.Failure(describe_error(exc))


def decode_base64(text: str) -> result.Result[bytes, str]:
    """Return the bytes of a base64 text, or what is wrong with it.

    :param text: the text; characters outside the alphabet are not passed over.
    """
    try:
        return result.Success(base64.b64decode(text, validate=True))
    except DECODE_ERRORS as exc:
        return result.Failure(describe_error(exc))


def decompress(packed: bytes, *, max_bytes: int) -> result.Result[bytes, str]:
    """Return what was packed with ``zlib``, or what is wrong with it.

    :param packed: the bytes.
    :param most: how many bytes it may unpack to.
    """
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(packed, max_bytes)
    except zlib.error as exc:
        return result.Failure(describe_error(exc))
    return (
        result.Success(plain) if reader.eof else result.Failure(f"no end within {max_bytes} bytes")
    )


def decode_compressed(
    packed: bytes, form: type[Form], *, max_bytes: int
) -> result.Result[Form, str]:
    """Return the value of a packed MessagePack text, or what is wrong with it.

    :param packed: the text, packed with ``zlib``.
    :param form: the type of the value.
    :param most: how many bytes it may unpack to.
    """
    unpacked = decompress(packed, max_bytes=max_bytes)
    if not isinstance(unpacked, result.Success):
        return result.Failure(unpacked.failure())
    try:
        return result.Success(msgspec.msgpack.decode(unpacked.unwrap(), type=form))
    except DECODE_ERRORS as exc:
        return result.Failure(describe_error(exc))


def describe_error(exc: BaseException) -> str:
    """Return a bounded text of what could not be read.

    :param exc: one of ``UNREADABLE``.
    """
    return (str(exc) or type(exc).__name__)[:MAX_CAUSE_CHARS]


def prune(body: bytes, depth: int) -> bytes:
    """Return a JSON text with ``null`` for all that is nested deeper than given.

    Readers refuse a text as a whole when a single entry is nested too deeply.

    :param body: the text.
    :param depth: how many levels stay.
    """
    parts: list[bytes] = []
    level = kept = 0
    for mark in JSON_TOKENS.finditer(body):
        if mark.group() in OPENING_BRACKETS:
            level += 1
            if level == depth + 1:
                parts.extend((body[kept : mark.start()], b"null"))
        elif len(mark.group()) == 1:
            if level == depth + 1:
                kept = mark.end()
            level -= 1
    return b"".join((*parts, body[kept:])) if level == 0 else body


def read_count(text: str | bytes, *, max_value: int = MAX_COUNT) -> int | None:
    """Return a whole number written in decimal digits, or ``None``.

    :param text: the digits.
    :param most: the largest number that is taken.
    """
    # Longer ones are out of range, and ``int`` takes time that grows with the square.
    if len(text) > 20 or not text.isascii() or not text.isdigit():
        return None
    value = int(text)
    return value if value <= max_value else None


def read_number(text: str | bytes, *, max_value: float) -> float | None:
    """Return a number from 0 up to a bound, or ``None``.

    :param text: the number.
    :param most: the largest number that is taken.
    """
    try:
        value = float(text)
    except DECODE_ERRORS:
        return None
    return value if math.isfinite(value) and 0 <= value <= max_value else None


def read_name(value: bytes) -> str | None:
    """Return a name that came in a header, or ``None``.

    :param value: the bytes.
    """
    try:
        name = value.decode()
    except UnicodeError:
        return None
    return name if is_name(name) else None


def is_name(text: str) -> bool:
    """Return whether a text can stand in a header, a log line and the key of a row.

    :param text: the text.
    """
    # Lone surrogates, which have no bytes, are not printable.
    is_plain = text.isprintable() and text == text.strip()
    return is_plain and 0 < len(text.encode()) <= MAX_NAME_BYTES


def is_address(text: str) -> bool:
    """Return whether a text is a host and a port to which a connection can be made.

    :param text: the text.
    """
    host, _, port = text.rpartition(":")
    number = read_count(port, max_value=MAX_PORT)
    return bool(number) and len(host) <= MAX_NAME_BYTES and HOST_PATTERN.match(host) is not None
