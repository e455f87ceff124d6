"""An in-memory stand-in of the platform's metadata store, with the faults that may occur."""

import base64
import collections
import collections.abc
import dataclasses
import enum
import urllib.parse

import msgspec
import trio

from ebonyvalve.process import http

# Table, part and key.
RowKey = tuple[str, str, str]
PAGE_ROWS = 500
MAX_ENTRIES = 100


class Fault(enum.Enum):
    """How the store handles calls."""

    NONE = "none"
    # Refuses the call with status 503, which says that it was not executed.
    BUSY = "busy"
    # Refuses the call with status 429, in the same way.
    LIMIT = "limit"
    # Does nothing and never answers.
    SILENT = "silent"
    # Executes the call and closes the connection without an answer.
    LOST = "lost"
    # Executes the call ``late_s`` later, when its conditions are checked, and closes the connection
    # without an answer.
    LATE = "late"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A row with its version. ``value`` is ``None`` for a removed row."""

    value: bytes | None
    version: int


@dataclasses.dataclass(kw_only=True)
class Metadata:
    """The state of the store.

    ``delay_s`` is the delay of every call in seconds. ``log`` holds version and key of every write
    since version ``oldest``. ``faults`` holds the fault for each caller; ``""`` stands for all
    callers that are not named.
    """

    now: collections.abc.Callable[[], float]
    delay_s: float = 0.0
    late_s: float = 2.0
    rows: dict[RowKey, Entry] = dataclasses.field(default_factory=dict)
    log: list[tuple[int, RowKey]] = dataclasses.field(default_factory=list)
    version: int = 0
    oldest: int = 0
    faults: dict[str, Fault] = dataclasses.field(default_factory=dict)
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    calls: int = 0
    # Number of calls by path and table.
    calls_by_table: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Bytes of the answers by path and table.
    reply_bytes_by_table: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )


class WirePlace(msgspec.Struct, kw_only=True):
    """A row in a transaction: its place, with a version in conditions and a value in writes."""

    table: str
    key: str
    part: str = ""
    ver: int = 0
    value: str = ""


class WireTransaction(msgspec.Struct, kw_only=True):
    """A transaction: conditions, writes and removals."""

    precondition: list[WirePlace] = []
    puts: list[WirePlace] = []
    remove: list[WirePlace] = []
    across: bool = False


def put(state: Metadata, table: str, key: str, value: bytes | None) -> None:
    """Write a row directly, as the platform's operator does.

    :param state: the store.
    :param table: the table of the row.
    :param key: the key of the row; its part is empty.
    :param value: the value to write, or ``None`` to remove the row.
    """
    state.version += 1
    _write(state, (table, "", key), value)
    _notify_changed(state)


def compact(state: Metadata) -> None:
    """Discard the history, so that feeds from earlier versions fail.

    :param state: the store.
    """
    state.oldest = state.version
    state.log.clear()


def build_respond(state: Metadata, caller: str) -> http.Respond:
    """Return a function that answers the HTTP calls of one caller.

    It returns ``None`` to close the connection without an answer.

    :param state: the store.
    :param caller: name of the caller, for :attr:`Metadata.faults`.
    """

    async def respond(request: http.Request) -> http.Reply | None:
        state.calls += 1
        path_and_table = _find_path_and_table(request)
        state.calls_by_table[path_and_table] += 1
        fault = state.faults.get(caller, state.faults.get("", Fault.NONE))
        await trio.sleep(state.delay_s)
        if fault is Fault.BUSY:
            return http.Reply(status=503, body=b"{}")
        if fault is Fault.LIMIT:
            return http.Reply(status=429, body=b"{}")
        if fault is Fault.SILENT:
            await trio.sleep_forever()
        if fault is Fault.LATE:
            await trio.sleep(state.late_s)
        path, _, query = request.path.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        reply = await _answer(state, request.method, path, parameters, request.body)
        state.reply_bytes_by_table[path_and_table] += len(reply.body)
        if fault in (Fault.LOST, Fault.LATE):
            return None
        return reply

    return respond


def _find_path_and_table(request: http.Request) -> tuple[str, str]:
    """Return path and table of a call; for a transaction, the table of its first write."""
    path, _, query = request.path.partition("?")
    if path != "/rows-tx":
        return path, dict(urllib.parse.parse_qsl(query)).get("table", "")
    transaction = msgspec.json.decode(request.body, type=WireTransaction)
    written = [*transaction.puts, *transaction.remove]
    return path, written[0].table if written else ""


async def _answer(
    state: Metadata, method: str, path: str, parameters: dict[str, str], body: bytes
) -> http.Reply:
    if (method, path) == ("POST", "/rows-tx"):
        return _transact(state, msgspec.json.decode(body, type=WireTransaction))
    if (method, path) == ("GET", "/rows-get"):
        return _get(state, parameters)
    if (method, path) == ("GET", "/rows-feed"):
        return await _feed(state, parameters)
    return http.Reply(status=404, body=b"{}")


def _transact(state: Metadata, transaction: WireTransaction) -> http.Reply:
    entries = [*transaction.precondition, *transaction.puts, *transaction.remove]
    parts = {place.part for place in entries}
    if len(entries) > MAX_ENTRIES or (len(parts) > 1 and not transaction.across):
        return http.Reply(status=400, body=b"{}")
    if any(place.table in ("op", "servers") for place in [*transaction.puts, *transaction.remove]):
        return http.Reply(status=403, body=b"{}")
    for place in transaction.precondition:
        if _read_version(state, _build_row_key(place)) != place.ver:
            rows = [_encode_row(state, _build_row_key(other)) for other in transaction.precondition]
            return _reply(state, 412, rows)
    state.version += 1
    for place in transaction.puts:
        _write(state, _build_row_key(place), base64.b64decode(place.value))
    for place in transaction.remove:
        _write(state, _build_row_key(place), None)
    _notify_changed(state)
    return _reply(state, 200, [])


def _get(state: Metadata, parameters: dict[str, str]) -> http.Reply:
    table, part = parameters["table"], parameters.get("part", "")
    limit = min(int(parameters.get("limit", PAGE_ROWS)), PAGE_ROWS)
    row_keys = sorted(
        row_key
        for row_key, entry in state.rows.items()
        if row_key[:2] == (table, part)
        and entry.value is not None
        and parameters.get("from", "") <= row_key[2]
        and ("to" not in parameters or row_key[2] < parameters["to"])
    )
    rows = [_encode_row(state, row_key) for row_key in row_keys[:limit]]
    return _reply(state, 200, rows, has_more=len(row_keys) > limit)


async def _feed(state: Metadata, parameters: dict[str, str]) -> http.Reply:
    table, after = parameters["table"], int(parameters["after"])
    with trio.move_on_after(int(parameters.get("wait_ms", 0)) / 1000):
        while after >= state.oldest and not _list_changed(state, table, after):
            await state.changed.wait()
    if after < state.oldest:
        return _reply(state, 410, [])
    row_keys = _list_changed(state, table, after)
    return _reply(state, 200, [_encode_row(state, row_key) for row_key in row_keys])


def _list_changed(state: Metadata, table: str, after: int) -> list[RowKey]:
    latest_versions = {
        row_key: version
        for version, row_key in state.log
        if version > after and row_key[0] == table
    }
    return sorted(latest_versions, key=lambda row_key: (latest_versions[row_key], row_key))


def _build_row_key(place: WirePlace) -> RowKey:
    return place.table, place.part, place.key


def _read_version(state: Metadata, row_key: RowKey) -> int:
    entry = state.rows.get(row_key)
    return 0 if entry is None or entry.value is None else entry.version


def _write(state: Metadata, row_key: RowKey, value: bytes | None) -> None:
    state.rows[row_key] = Entry(value=value, version=state.version)
    state.log.append((state.version, row_key))


def _notify_changed(state: Metadata) -> None:
    state.changed.set()
    state.changed = trio.Event()


def _encode_row(state: Metadata, row_key: RowKey) -> dict[str, object]:
    table, part, key = row_key
    entry = state.rows.get(row_key)
    if entry is None:
        return {"table": table, "part": part, "key": key, "ver": 0}
    row: dict[str, object] = {"table": table, "part": part, "key": key, "ver": entry.version}
    if entry.value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(entry.value).decode()}


def _reply(
    state: Metadata, status: int, rows: list[dict[str, object]], *, has_more: bool = False
) -> http.Reply:
    body = {
        "rows": rows,
        "ver": state.version,
        "now_s": round(state.now(), 3),
        "has_more": has_more,
    }
    return http.Reply(status=status, body=msgspec.json.encode(body))
