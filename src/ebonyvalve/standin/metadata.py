"""An in-memory stand-in of the platform's metadata store, with the faults that may occur."""

import base64
import collections
import collections.abc
import dataclasses
import enum
import random
import urllib.parse

import msgspec
import trio

from ebonyvalve.process import http

# Table, part and key.
RowKey = tuple[str, str, str]
PAGE_ROWS = 500
MAX_ENTRIES = 100
ERA_HEADER = "Store-Era"


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
    # Executes the call, and answers ``late_s`` later with what was true at the execution.
    HELD = "held"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A row with its version. ``value`` is ``None`` for a removed row."""

    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """A copy of the store's rows and history."""

    rows: dict[RowKey, Entry]
    log: tuple[tuple[int, RowKey], ...]
    version: int
    oldest: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Restore:
    """A restore of the store: when its copy is taken, and when the store goes and comes back.

    All times are in seconds from the start of the schedule. Calls are refused from ``down_at_s`` to
    ``up_at_s``.
    """

    copied_at_s: float
    down_at_s: float
    up_at_s: float


@dataclasses.dataclass(kw_only=True)
class Metadata:
    """The state of the store.

    ``delay_s`` is the delay of every call in seconds. ``log`` holds version and key of every write
    since version ``oldest``. ``faults`` holds the fault for each caller; ``""`` stands for all
    callers that are not named. ``era`` counts the restores; answers carry it unless ``sends_era``
    is false, as with stores that don't know eras.
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
    era: int = 0
    sends_era: bool = True
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


def take_copy(state: Metadata) -> Copy:
    """Return a copy of the store, to which it can be restored.

    :param state: the store.
    """
    return Copy(
        rows=dict(state.rows), log=tuple(state.log), version=state.version, oldest=state.oldest
    )


def restore(state: Metadata, copy: Copy) -> None:
    """Return to a copy: all later writes are lost, and their versions are issued again.

    :param state: the store.
    :param copy: made by :func:`take_copy`.
    """
    state.rows, state.log = dict(copy.rows), list(copy.log)
    state.version, state.oldest = copy.version, copy.oldest
    state.era += 1
    _notify_changed(state)


def draw_restores(
    rng: random.Random, count: int, *, max_age_s: float, max_outage_s: float, max_pause_s: float
) -> list[Restore]:
    """Return a schedule of restores that follow each other.

    :param rng: the generator of all times.
    :param count: the number of restores.
    :param max_age_s: how old a copy may be when the store goes away.
    :param max_outage_s: how long the store may be away.
    :param max_pause_s: the longest time from the end of one restore to the next.
    """
    restores: list[Restore] = []
    free_from_s = 0.0
    for _ in range(count):
        down_at_s = free_from_s + rng.uniform(0.0, max_pause_s)
        # The copy may be older than the previous restore, as where the same copy is used twice.
        copied_at_s = max(0.0, down_at_s - rng.uniform(0.0, max_age_s))
        free_from_s = down_at_s + rng.uniform(0.0, max_outage_s)
        restores.append(Restore(copied_at_s=copied_at_s, down_at_s=down_at_s, up_at_s=free_from_s))
    return restores


async def run_restores(state: Metadata, restores: collections.abc.Sequence[Restore]) -> None:
    """Play a schedule of restores; the calls of all callers are refused during each.

    :param state: the store.
    :param restores: the schedule.
    """
    started_at = trio.current_time()
    copies: dict[int, Copy] = {}
    events = sorted(
        (at_s, step, number)
        for number, planned in enumerate(restores)
        for step, at_s in enumerate((planned.copied_at_s, planned.down_at_s, planned.up_at_s))
    )
    faults_before: dict[str, Fault] = {}
    for at_s, step, number in events:
        await trio.sleep_until(started_at + at_s)
        if step == 0:
            copies[number] = take_copy(state)
        elif step == 1:
            faults_before, state.faults = state.faults, {"": Fault.BUSY}
        else:
            state.faults = faults_before
            restore(state, copies[number])


def build_respond(state: Metadata, caller: str) -> http.Respond:
    """Return a function that answers the HTTP calls of one caller.

    It returns ``None`` to close the connection without an answer.

    :param state: the store.
    :param caller: name of the caller, for :attr:`Metadata.faults`.
    """

    async def respond(request: http.Request) -> http.Reply | None:
        reply = await execute(request)
        if reply is None or reply.headers or not state.sends_era:
            return reply
        return _stamp(state, reply)

    async def execute(request: http.Request) -> http.Reply | None:
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
        if fault is Fault.HELD:
            reply = _stamp(state, reply) if state.sends_era else reply
            await trio.sleep(state.late_s)
        return reply

    return respond


def _stamp(state: Metadata, reply: http.Reply) -> http.Reply:
    return dataclasses.replace(reply, headers=((ERA_HEADER, str(state.era)),))


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
        while state.oldest <= after <= state.version and not _list_changed(state, table, after):
            await state.changed.wait()
    if not state.oldest <= after <= state.version:
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
