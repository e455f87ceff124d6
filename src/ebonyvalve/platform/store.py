"""Client of the platform's metadata store: HTTP/1.1 with JSON bodies on keep-alive connections.

The fields of the ``Wire`` structs are the store's names, not this project's.
"""

import base64
import collections.abc
import dataclasses
import logging
import urllib.parse

import h11
import msgspec
from returns import result
import trio

from ebonyvalve.process import decision, decoding, http, network
from ebonyvalve.process.keyspace import lease
from ebonyvalve.process.store import era, table

log = logging.getLogger(__name__)

# Timeout of a call, which takes 4 ms, or 200 ms when the store is slow.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
# Added to the wait of a long poll for its timeout.
FOLLOW_SLACK_S = 1.5
PAGE_ROWS = 500
# Limit for one table, which is 100,000 rows.
MAX_PAGES = 200
OK = 200
CONFLICT = 412
GONE = 410
# The store may not have created a table that has no rows yet.
NO_TABLE = 404
# With these the store guarantees that nothing was written.
REFUSED_STATUSES = (429, 503, 403, 507)
# Nesting of a page: an object with a list of rows, which are objects.
ROW_DEPTH = 3
# The era of the store in its answers; without it the era is 0.
ERA_HEADER = b"store-era"


class WireRow(msgspec.Struct, kw_only=True):
    """A row as the store encodes it.

    ``part`` is the partition, ``ver`` the version of the row and ``removed`` marks a deleted
    row. ``value`` is base64.
    """

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: decoding.Count = 0
    removed: bool = False


class WireRowName(msgspec.Struct, kw_only=True):
    """The name and version of a row whose value can't be decoded."""

    table: str
    key: str
    ver: decoding.Count
    part: str = ""


class WireRows(msgspec.Struct, kw_only=True):
    """An answer with rows.

    ``ver`` is the version of the store and ``now_s`` its monotonic clock in seconds.
    """

    rows: list[WireRow] = []
    ver: decoding.Count = 0
    now_s: decoding.Seconds | None = None
    has_more: bool = False


class WirePage(msgspec.Struct, kw_only=True):
    """An answer with rows, some of which, or the clock, can't be decoded."""

    rows: list[msgspec.Raw] = []
    ver: decoding.Count = 0
    now_s: msgspec.Raw = msgspec.Raw(b"null")
    has_more: bool = False


@dataclasses.dataclass(kw_only=True)
class Client:
    """Keep-alive connections to the store, one for each concurrent call.

    ``on_recovery`` is called when the store answers again after a failure, and when its address
    changes. ``unreadable_rows`` holds the rows that were logged as undecodable. ``eras`` is the
    store's era, which other parts of the node learn of as well.
    """

    address: str
    connect: network.Connect
    now: collections.abc.Callable[[], float]
    on_recovery: collections.abc.Callable[[], None] = lambda: None
    idle: list[tuple[trio.abc.Stream, h11.Connection]] = dataclasses.field(default_factory=list)
    is_reachable: bool = True
    unreadable_rows: decoding.UnreadableRows = dataclasses.field(
        default_factory=decoding.UnreadableRows
    )
    eras: era.Tracker = dataclasses.field(default_factory=era.Tracker)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """One answer, with the times of request and answer in seconds on the node's clock.

    ``era`` is that of the store. ``is_next_era`` is set if the request was made in an earlier one.
    """

    status: int
    body: bytes
    asked_at: float
    answered_at: float
    era: int = 0
    is_next_era: bool = False


def open_store(client: Client) -> table.Store:
    """Return the operations of the store's tables.

    :param client: the connections.
    """

    async def read(name: table.TableName) -> table.Rows | table.Failure:
        return await _read_all(client, name)

    async def follow(
        name: table.TableName, after: int, wait_s: float
    ) -> table.Rows | table.Failure:
        if client.eras.current and era.find_era(after) != client.eras.current:
            # The changes since then were lost, or never were in this table.
            return table.Failure.HISTORY_GONE
        own_after = era.find_own_version(after) if client.eras.current else after
        query = urllib.parse.urlencode(
            {"table": name, "after": own_after, "wait_ms": round(wait_s * 1000)}
        )
        answer = await _call(
            client, "GET", f"/rows-feed?{query}", timeout_s=wait_s + FOLLOW_SLACK_S
        )
        if isinstance(answer, table.Failure):
            return answer
        # The version that was asked for may have been issued again.
        return table.Failure.HISTORY_GONE if answer.is_next_era else _decode_rows(client, answer)

    async def commit(
        expected: dict[table.Name, int], writes: dict[table.Name, bytes | None]
    ) -> table.Committed | table.Conflict | table.Failure:
        return await _commit(client, expected, writes)

    return table.Store(read=read, follow=follow, commit=commit)


async def redirect(client: Client, address: str) -> None:
    """Send further calls to another address and close the idle connections to the old one.

    :param client: the connections.
    :param address: the new address of the store.
    """
    client.address = address
    await _close_idle(client)
    client.on_recovery()


async def _close_idle(client: Client) -> None:
    idle, client.idle = client.idle, []
    for stream, _ in idle:
        await trio.aclose_forcefully(stream)


async def _read_all(client: Client, name: table.TableName) -> table.Rows | table.Failure:
    rows: list[table.Row] = []
    start = ""
    first_era: int | None = None
    for _ in range(MAX_PAGES):
        query = {"table": name, "part": "", "limit": PAGE_ROWS}
        if start:
            query["from"] = start
        answer = await _call(client, "GET", f"/rows-get?{urllib.parse.urlencode(query)}")
        if isinstance(answer, table.Failure):
            return answer
        page = _decode_rows(client, answer)
        if isinstance(page, table.Failure):
            return page
        first_era = answer.era if first_era is None else first_era
        if answer.era != first_era:
            # The store was restored between two pages.
            return table.Failure.UNKNOWN
        rows.extend(page.rows)
        if page.has_more and not page.rows:
            # Without rows the start of the next page is unknown, and a part of a table must not be
            # taken for the whole.
            return table.Failure.UNKNOWN
        if not page.has_more:
            return dataclasses.replace(page, rows=tuple(rows), has_more=False)
        # The smallest key greater than the last one.
        start = page.rows[-1].name.key + "\0"
    decision.record(log, logging.ERROR, "store-table-too-long", table=name, pages=MAX_PAGES)
    return table.Failure.UNKNOWN


async def _commit(
    client: Client,
    expected: dict[table.Name, int],
    writes: dict[table.Name, bytes | None],
) -> table.Committed | table.Conflict | table.Failure:
    names = {*expected, *writes}
    if any(era.is_earlier(client.eras, version) for version in expected.values()):
        # A row of that version may exist again with another content. What the store has now is
        # not known here and has to be read.
        return table.Conflict(rows=())
    body: dict[str, object] = {
        "precondition": [
            {**_encode_name(name), "ver": _find_own_version(client, version)}
            for name, version in expected.items()
        ],
        "puts": [
            {**_encode_name(name), "value": base64.b64encode(value).decode()}
            for name, value in writes.items()
            if value is not None
        ],
        "remove": [_encode_name(name) for name, value in writes.items() if value is None],
    }
    if len({name.part for name in names}) > 1:
        body["across"] = True
    answer = await _call(client, "POST", "/rows-tx", msgspec.json.encode(body))
    if isinstance(answer, table.Failure):
        return answer
    decoded = _decode_rows(client, answer)
    if isinstance(decoded, table.Failure):
        return decoded
    if answer.is_next_era:
        # The write may have been applied before or after the restore, and its conditions may have
        # been compared with versions that were issued again.
        return table.Failure.UNKNOWN
    if answer.status == NO_TABLE:
        return table.Failure.UNKNOWN
    if answer.status == CONFLICT:
        return table.Conflict(rows=decoded.rows)
    return table.Committed(version=decoded.version, clock=decoded.clock)


def _find_own_version(client: Client, version: int) -> int:
    return era.find_own_version(version) if client.eras.current else version


def _encode_name(name: table.Name) -> dict[str, str]:
    return {"table": name.table, "part": name.part, "key": name.key}


def _decode_rows(client: Client, answer: Answer) -> table.Rows | table.Failure:
    if answer.status == GONE:
        return table.Failure.HISTORY_GONE
    if answer.status not in (OK, CONFLICT, NO_TABLE):
        # The body could be taken for a table without rows, or for a write that was applied.
        decision.record(log, logging.ERROR, "store-answer-unreadable", cause=answer.status)
        return table.Failure.UNKNOWN
    decoded = decoding.decode(answer.body, WireRows)
    if not isinstance(decoded, result.Success):
        decoded = _decode_readable(client, answer.body)
    if not isinstance(decoded, result.Success):
        cause = decoded.failure()
        decision.record(log, logging.ERROR, "store-answer-unreadable", cause=cause)
        return table.Failure.UNKNOWN
    wire = decoded.unwrap()
    if answer.era and wire.ver >= era.ERA_SIZE:
        decision.record(log, logging.ERROR, "store-answer-unreadable", cause="version too large")
        return table.Failure.UNKNOWN
    version = era.compose(answer.era, wire.ver)
    if answer.era == client.eras.current:
        era.record_version(client.eras, version)
    clock = None
    if wire.now_s is not None:
        clock = lease.StoreClock(
            asked_at=answer.asked_at, answered_at=answer.answered_at, read_s=wire.now_s
        )
    rows = tuple(
        _decode_row(client, row, answer.era)
        for row in wire.rows
        # A version that runs over into the next era can be that of no row.
        if not answer.era or row.ver < era.ERA_SIZE
    )
    return table.Rows(rows=rows, version=version, clock=clock, has_more=wire.has_more)


def _decode_readable(client: Client, body: bytes) -> result.Result[WireRows, str]:
    """Return an answer without the rows, or values of rows, that can't be decoded."""
    page_decoded = decoding.decode(decoding.prune(body, ROW_DEPTH), WirePage)
    if not isinstance(page_decoded, result.Success):
        return result.Failure(page_decoded.failure())
    page = page_decoded.unwrap()
    rows = []
    for raw in page.rows:
        row = decoding.decode(raw, WireRow)
        if not isinstance(row, result.Success):
            row_name = decoding.decode(raw, WireRowName).value_or(None)
            _record_unreadable(client, row_name or bytes(raw), row.failure())
            if row_name is not None:
                rows.append(
                    WireRow(
                        table=row_name.table, part=row_name.part, key=row_name.key, ver=row_name.ver
                    )
                )
            continue
        rows.append(row.unwrap())
    now_s = decoding.decode(page.now_s, decoding.Seconds).value_or(None)
    return result.Success(WireRows(rows=rows, ver=page.ver, now_s=now_s, has_more=page.has_more))


def _record_unreadable(client: Client, row: WireRowName | WireRow | bytes, cause: str) -> None:
    """Log a row that can't be decoded, once for each of its versions."""
    if isinstance(row, bytes):
        name, version = repr(row[: decoding.MAX_CAUSE_CHARS]), table.MISSING
    else:
        name, version = f"{row.table}/{row.key}", row.ver
    decoding.record_unreadable(client.unreadable_rows, log, name, version, cause)


def _decode_row(client: Client, row: WireRow, number: int) -> table.Row:
    """Return a row; an undecodable value becomes an empty one, which every decoder rejects."""
    value = decoding.decode_base64(row.value)
    if not isinstance(value, result.Success):
        _record_unreadable(client, row, value.failure())
    name = table.Name(table=table.TableName(row.table), part=row.part, key=row.key)
    version = era.compose(number, row.ver)
    return table.Row(name=name, value=value.value_or(b""), version=version, is_removed=row.removed)


async def _call(
    client: Client,
    method: str,
    target: str,
    body: bytes = b"",
    *,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer | table.Failure:
    asked_at = client.now()
    asked_era = client.eras.current if client.eras.is_known else None
    address = client.address
    failure = table.Failure.UNKNOWN
    with trio.move_on_after(timeout_s):
        opened = await _take_idle(client) or await _connect(client)
        if isinstance(opened, table.Failure):
            return _record_reachability(client, opened)
        is_complete = False
        try:
            reply = await _exchange(client, opened, method, target, body)
            if reply is not None:
                is_complete = True
                head, content = reply
                if head.status_code in REFUSED_STATUSES:
                    return _record_reachability(client, table.Failure.UNAVAILABLE)
                _record_reachability(client, None)
                number = _accept_era(client, head)
                if number is None:
                    return table.Failure.UNKNOWN
                return Answer(
                    status=head.status_code,
                    body=content,
                    era=number,
                    is_next_era=asked_era is not None and number != asked_era,
                    asked_at=asked_at,
                    answered_at=client.now(),
                )
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError, OSError):
            failure = table.Failure.UNKNOWN
        finally:
            if (
                is_complete
                and client.address == address
                and opened[1].our_state is h11.DONE
                and opened[1].their_state is h11.DONE
            ):
                opened[1].start_next_cycle()
                client.idle.append(opened)
            else:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(opened[0])
    # The other connections may have gone silent with this one, and each would cost a time-out.
    await _close_idle(client)
    return _record_reachability(client, failure)


def _accept_era(client: Client, head: h11.Response) -> int | None:
    """Record and return the era of an answer, or ``None`` if the answer must not be used.

    An answer of an earlier era was sent before a restore, and arrives late.
    """
    values = [value for name, value in head.headers if name == ERA_HEADER]
    number = decoding.read_count(values[0], max_value=era.MAX_ERA) if values else 0
    if number is None:
        decision.record(log, logging.ERROR, "store-answer-unreadable", cause="invalid era")
        return None
    if number < client.eras.current:
        decision.record(
            log, logging.INFO, "store-answer-late", era=number, current=client.eras.current
        )
        return None
    era.observe(client.eras, number, client.now(), source="store")
    return number


async def _take_idle(client: Client) -> tuple[trio.abc.Stream, h11.Connection] | None:
    """Return an idle connection on which nothing was received since its last answer."""
    while client.idle:
        stream, protocol = client.idle.pop()
        trailing, is_closed = protocol.trailing_data
        is_readable = isinstance(stream, trio.SocketStream) and stream.socket.is_readable()
        if not (trailing or is_closed or is_readable):
            return stream, protocol
        await trio.aclose_forcefully(stream)
    return None


async def _connect(
    client: Client,
) -> tuple[trio.abc.Stream, h11.Connection] | table.Failure:
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            return await client.connect(client.address), h11.Connection(h11.CLIENT)
        except (OSError, trio.BrokenResourceError):
            return table.Failure.UNAVAILABLE
    return table.Failure.UNAVAILABLE


async def _exchange(
    client: Client,
    opened: tuple[trio.abc.Stream, h11.Connection],
    method: str,
    target: str,
    body: bytes,
) -> tuple[h11.Response, bytes] | None:
    stream, protocol = opened
    headers = [("host", client.address), ("content-length", str(len(body)))]
    if body:
        headers.append(("content-type", "application/json"))
    head = h11.Request(method=method, target=target, headers=headers)
    await http.send_message(stream, protocol, head, body)
    reply, content = await http.receive_message(stream, protocol)
    return (reply, content) if isinstance(reply, h11.Response) else None


def _record_reachability(client: Client, failure: table.Failure | None) -> table.Failure:
    """Log when the store becomes unreachable or reachable again, once each; return the failure."""
    if client.is_reachable != (failure is None):
        client.is_reachable = failure is None
        if client.is_reachable:
            client.on_recovery()
        event = "store-regained" if client.is_reachable else "store-lost"
        level = logging.INFO if client.is_reachable else logging.WARNING
        cause = "" if failure is None else failure.value
        decision.record(log, level, event, address=client.address, cause=cause)
    return failure or table.Failure.UNKNOWN
