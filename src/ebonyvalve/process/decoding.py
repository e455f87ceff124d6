"""Decodes and validates input from outside the process.

Rows of the store, messages of other nodes, reports of targets, headers and files may have been
written by other software. Invalid input is returned as a failure and never raises. The types
bound every value, so that none of them fails later in arithmetic, in a header or in a timeout.
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

Decoded = typing.TypeVar("Decoded")

# JSON readers that use doubles represent integers exactly up to this.
MAX_COUNT = 2**53 - 1
# Far above any real duration, and far below where sums of doubles lose whole seconds.
MAX_SECONDS = 1e12
MAX_SLOTS = 1_000_000
MAX_LOAD = 1e9
MAX_NAME_BYTES = 256
MAX_CAUSE_CHARS = 200
MAX_UNREADABLE_ROWS = 1000
MAX_PORT = 65_535

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
KeySlot = typing.Annotated[int, msgspec.Meta(ge=0, le=identity.LAST_KEY_SLOT)]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
Load = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_LOAD)]

# Every exception that decoding arbitrary bytes, text or numbers may raise.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
HOST_LABEL = r"[0-9A-Za-z_](?:[0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?"
HOST_PATTERN = re.compile(rf"(?:{HOST_LABEL}(?:\.{HOST_LABEL})*|\[[0-9A-Fa-f:.]+\])\Z")
JSON_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
OPENING_BRACKETS = (b"[", b"{")


@dataclasses.dataclass(kw_only=True)
class UnreadableRows:
    """The store's rows that can't be decoded, each with the version that was logged."""

    versions: dict[str, int] = dataclasses.field(default_factory=dict)


def record_unreadable(
    unreadable: UnreadableRows, log: logging.Logger, row: str, version: int, cause: str
) -> None:
    """Record a row that can't be decoded, and log it once for each of its versions.

    :param unreadable: the state.
    :param log: the logger of the calling module.
    :param row: the name of the row.
    :param version: the version of the row.
    :param cause: why it can't be decoded.
    """
    if unreadable.versions.get(row) == version:
        return
    unreadable.versions[row] = version
    if len(unreadable.versions) > MAX_UNREADABLE_ROWS:
        del unreadable.versions[next(iter(unreadable.versions))]
    decision.record(log, logging.ERROR, "row-unreadable", row=row, version=version, cause=cause)


def is_unreadable(unreadable: UnreadableRows, row: str) -> bool:
    """Return whether the last version of a row could not be decoded.

    :param unreadable: the state.
    :param row: the name of the row.
    """
    return row in unreadable.versions


def record_readable(unreadable: UnreadableRows, row: str, version: int) -> None:
    """Record that a row could be decoded or was removed.

    :param unreadable: the state.
    :param row: the name of the row.
    :param version: the version of the row; one older than the unreadable version is ignored.
    """
    if unreadable.versions.get(row, version) <= version:
        unreadable.versions.pop(row, None)


def forget_missing(
    unreadable: UnreadableRows, table: str, existing: collections.abc.Container[str]
) -> None:
    """Forget the unreadable rows of a table that no longer exist.

    :param unreadable: the state.
    :param table: the name of the table.
    :param existing: the names of all rows of the table.
    """
    for row in list(unreadable.versions):
        if row.startswith(f"{table}/") and row not in existing:
            del unreadable.versions[row]


def accept_any(_: object) -> str:
    """Accept every value of the type."""
    return ""


def decode(
    body: bytes | msgspec.Raw,
    value_type: type[Decoded],
    find_fault: collections.abc.Callable[[Decoded], str] = accept_any,
) -> result.Result[Decoded, str]:
    """Decode JSON, and return the value or why it is invalid.

    :param body: the JSON.
    :param value_type: the type of the value.
    :param find_fault: returns what is wrong with a value of that type, or an empty string.
    """
    try:
        value = msgspec.json.decode(body, type=value_type)
        fault = find_fault(value)
    except DECODE_ERRORS as exc:
        fault = describe_error(exc)
    return result.Failure(fault[:MAX_CAUSE_CHARS]) if fault else result.Success(value)


def convert(tree: object, value_type: type[Decoded]) -> result.Result[Decoded, str]:
    """Convert a tree of plain objects, and return the value or why it is invalid.

    :param tree: the objects, as the parser of another format returns them.
    :param value_type: the type of the value.
    """
    try:
        return result.Success(msgspec.convert(tree, value_type, strict=False))
    except DECODE_ERRORS as exc:
        return result.Failure(describe_error(exc))


def decode_base64(text: str) -> result.Result[bytes, str]:
    """Decode base64, and return the bytes or why the text is invalid.

    :param text: the text; characters outside the alphabet are refused, not skipped.
    """
    try:
        return result.Success(base64.b64decode(text, validate=True))
    except DECODE_ERRORS as exc:
        return result.Failure(describe_error(exc))


def decompress(compressed: bytes, *, max_bytes: int) -> result.Result[bytes, str]:
    """Decompress ``zlib`` data, and return the bytes or why the data is invalid.

    :param compressed: the data.
    :param max_bytes: the most bytes that it may decompress to.
    """
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(compressed, max_bytes)
    except zlib.error as exc:
        return result.Failure(describe_error(exc))
    return (
        result.Success(plain)
        if reader.eof
        else result.Failure(f"truncated, or longer than {max_bytes} bytes")
    )


def decode_compressed(
    compressed: bytes, value_type: type[Decoded], *, max_bytes: int
) -> result.Result[Decoded, str]:
    """Decode compressed MessagePack, and return the value or why it is invalid.

    :param compressed: the MessagePack, compressed with ``zlib``.
    :param value_type: the type of the value.
    :param max_bytes: the most bytes that it may decompress to.
    """
    decompressed = decompress(compressed, max_bytes=max_bytes)
    if not isinstance(decompressed, result.Success):
        return result.Failure(decompressed.failure())
    try:
        return result.Success(msgspec.msgpack.decode(decompressed.unwrap(), type=value_type))
    except DECODE_ERRORS as exc:
        return result.Failure(describe_error(exc))


def describe_error(exc: BaseException) -> str:
    """Return the message of a decoding error, cut to a bounded length.

    :param exc: one of ``DECODE_ERRORS``.
    """
    return (str(exc) or type(exc).__name__)[:MAX_CAUSE_CHARS]


def prune(body: bytes, depth: int) -> bytes:
    """Replace everything in a JSON text that is nested too deeply by ``null``.

    JSON parsers refuse a whole text when a single entry of it is nested too deeply.

    :param body: the text.
    :param depth: the number of levels to keep.
    """
    parts: list[bytes] = []
    level = copied_to = 0
    for token in JSON_TOKENS.finditer(body):
        if token.group() in OPENING_BRACKETS:
            level += 1
            if level == depth + 1:
                parts.extend((body[copied_to : token.start()], b"null"))
        elif len(token.group()) == 1:
            if level == depth + 1:
                copied_to = token.end()
            level -= 1
    return b"".join((*parts, body[copied_to:])) if level == 0 else body


def read_count(text: str | bytes, *, max_value: int = MAX_COUNT) -> int | None:
    """Return the value of decimal digits, or ``None`` if they are invalid.

    :param text: the digits.
    :param max_value: the largest valid number.
    """
    # Longer texts are out of range, and ``int`` takes time that is quadratic in their length.
    if len(text) > 20 or not text.isascii() or not text.isdigit():
        return None
    value = int(text)
    return value if value <= max_value else None


def read_number(text: str | bytes, *, max_value: float) -> float | None:
    """Return the value of a number that is not negative, or ``None`` if it is invalid.

    :param text: the number.
    :param max_value: the largest valid number.
    """
    try:
        value = float(text)
    except DECODE_ERRORS:
        return None
    return value if math.isfinite(value) and 0 <= value <= max_value else None


def read_name(value: bytes) -> str | None:
    """Return the name in a header, or ``None`` if it is invalid.

    :param value: the value of the header.
    """
    try:
        name = value.decode()
    except UnicodeError:
        return None
    return name if is_name(name) else None


def is_name(text: str) -> bool:
    """Return whether a text may be used in a header, in a log line and in the key of a row.

    :param text: the text.
    """
    # Lone surrogates, which can't be encoded, are not printable.
    is_plain = text.isprintable() and text == text.strip()
    return is_plain and 0 < len(text.encode()) <= MAX_NAME_BYTES


def is_address(text: str) -> bool:
    """Return whether a text is a valid address of the form ``host:port``.

    :param text: the text.
    """
    host, _, port = text.rpartition(":")
    number = read_count(port, max_value=MAX_PORT)
    return bool(number) and len(host) <= MAX_NAME_BYTES and HOST_PATTERN.match(host) is not None
