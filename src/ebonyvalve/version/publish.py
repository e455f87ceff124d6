"""Publishes configurations, reads their history, and waits until a version is in force."""

import collections.abc
import dataclasses
import enum

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity, platform, report, timer
from ebonyvalve.version import objects, plan

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
# With the pauses of RETRY_INTERVAL_S, the attempts span a few seconds, so that a store that is down
# for this long does not leave the outcome unknown.
MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.5
# Nodes send a heartbeat every 150 ms, so polling more often than that shows nothing new.
PROGRESS_INTERVAL_S = 0.25
MAX_LISTED = 20


class Entry(msgspec.Struct, kw_only=True, frozen=True):
    """One published version, as stored in the head row and in a row of the history.

    ``at`` is the time in UTC, in ISO 8601. ``publication`` is a random id for each call of the
    publish command, by which its author recognises the entry if the reply was lost.
    """

    version: identity.ConfigVersion
    digest: str
    author: str
    note: str
    at: str
    publication: str


class State(enum.Enum):
    """The outcome of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    # The write may still take effect. The history shows whether it did.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PublishRequest:
    """A request to publish the objects in ``body``; its plan is based on version ``base``."""

    body: bytes
    base: identity.ConfigVersion
    author: str
    note: str
    at: str
    publication: str


class Published(msgspec.Struct, kw_only=True, frozen=True):
    """The result of a publication.

    In a conflict, ``other`` is the entry of the other publication, and ``differences`` lists its
    changes from the base, or from the refused objects if the base cannot be read.
    """

    state: State
    version: identity.ConfigVersion
    cause: str
    other: Entry | None = None
    differences: list[str] = []


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The entry in force, and the version of the head row that a conditional write expects."""

    entry: Entry | None
    row_version: int


HeadResult = result.Result[Head, str]
FetchVersions = collections.abc.Callable[[], collections.abc.Awaitable[list[report.NodeVersion]]]
ReportProgress = collections.abc.Callable[[int, int, list[report.NodeVersion]], None]


def name_log_row(version: int) -> str:
    """Return the table key of a version's history row.

    :param version: the version.
    """
    return f"{LOG_PREFIX}{version}"


def find_version(head: Head) -> identity.ConfigVersion:
    """Return the configuration version in force, 0 for none.

    :param head: the head.
    """
    return head.entry.version if head.entry else identity.ConfigVersion(0)


async def read_head(table: platform.Table) -> HeadResult:
    """Return the entry in force, or why it cannot be read.

    :param table: the table.
    """
    return (await _read_entry(table, HEAD_KEY)).map(
        lambda found: Head(entry=found[0], row_version=found[1])
    )


async def read_version(
    table: platform.Table, version: identity.ConfigVersion
) -> result.Result[Entry | None, str]:
    """Return the entry of a version, ``None`` if there is no such version.

    :param table: the table.
    :param version: the version.
    """
    return (await _read_entry(table, name_log_row(version))).map(lambda found: found[0])


async def read_history(table: platform.Table) -> result.Result[list[Entry], str]:
    """Return every published entry, oldest first.

    :param table: the table.
    """
    rows = await table.scan(LOG_PREFIX)
    if not isinstance(rows, result.Success):
        return result.Failure(f"the history cannot be read: {rows.failure().value}")
    entries = []
    for key, row in rows.unwrap().items():
        parsed = _parse_entry(key, row.value)
        if not isinstance(parsed, result.Success):
            return result.Failure(parsed.failure())
        entries.append(parsed.unwrap())
    return result.Success(sorted(entries, key=lambda entry: entry.version))


async def read_objects(
    store: platform.ObjectStore, entry: Entry | None
) -> result.Result[objects.ObjectSet, str]:
    """Return the objects of an entry, or why they cannot be read.

    :param store: the object store.
    :param entry: the entry; ``None`` stands for no objects.
    """
    if entry is None:
        return result.Success(objects.ObjectSet(objects=[]))
    body = await store.get(entry.digest)
    if not isinstance(body, result.Success):
        cause = body.failure().value
        return result.Failure(f"the objects of version {entry.version} cannot be read: {cause}")
    if objects.digest_body(body.unwrap()) != entry.digest:
        return result.Failure(f"the objects of version {entry.version} do not match their digest")
    return objects.decode_body(body.unwrap())


async def publish(
    services: platform.Platform, request: PublishRequest, clock: timer.Timer
) -> Published:
    """Publish a checked set of objects with one conditional write.

    :param services: the platform.
    :param request: what to publish, and the version that the plan is based on.
    :param clock: the timer for the pauses between attempts.
    """
    head = await read_head(services.table)
    if not isinstance(head, result.Success):
        return _fail(request, f"nothing was published: {head.failure()}")
    current_head = head.unwrap()
    if find_version(current_head) != request.base:
        return await _explain_conflict(services, request, current_head.entry)
    entry = Entry(
        version=identity.ConfigVersion(request.base + 1),
        digest=objects.digest_body(request.body),
        author=request.author,
        note=request.note,
        at=request.at,
        publication=request.publication,
    )
    # The body is written first, because no node can adopt a head whose body is missing.
    if not await _put_body(services.objects, entry.digest, request.body, clock):
        return _fail(request, "nothing was published: the object store does not answer")
    return await _commit_entry(services, request, entry, current_head.row_version, clock)


async def wait_in_force(
    *,
    version: identity.ConfigVersion,
    fetch: FetchVersions,
    progress: ReportProgress,
    clock: timer.Timer,
    within_s: float,
) -> list[report.NodeVersion]:
    """Wait until every node has a version in force, and return the nodes that lag.

    :param version: the version.
    :param fetch: returns the version in force at every node.
    :param progress: called with the number of nodes that have the version, the number of nodes, and
        the nodes that lag, whenever the names of the latter change.
    :param clock: the timer.
    :param within_s: the time limit in seconds, after which the nodes that still lag are returned.
    """
    end_at = timer.now(clock) + within_s
    shown_names: list[str] | None = None
    while True:
        nodes = await fetch()
        lagging = [node for node in nodes if node.version is None or node.version < version]
        lagging_names = [node.node for node in lagging]
        if lagging_names != shown_names:
            progress(len(nodes) - len(lagging), len(nodes), lagging)
            shown_names = list(lagging_names)
        if not lagging or timer.now(clock) >= end_at:
            return lagging
        await timer.wait_until(clock, min(timer.now(clock) + PROGRESS_INTERVAL_S, end_at))


def render_entry(entry: Entry) -> str:
    """Return an entry of the history as one line of text.

    :param entry: the entry.
    """
    return f"version {entry.version} at {entry.at} by {entry.author}: {entry.note or '(no note)'}"


async def _read_entry(
    table: platform.Table, key: str
) -> result.Result[tuple[Entry | None, int], str]:
    row = await table.read(key)
    if not isinstance(row, result.Success):
        return result.Failure(f"{key} cannot be read: the table service is {row.failure().value}")
    stored_row = row.unwrap()
    if stored_row.version == 0:
        return result.Success((None, 0))
    return _parse_entry(key, stored_row.value).map(lambda entry: (entry, stored_row.version))


def _parse_entry(key: str, value: bytes) -> result.Result[Entry, str]:
    return decoding.decode(value, Entry).alt(lambda fault: f"{key} holds no valid entry: {fault}")


def _fail(request: PublishRequest, cause: str) -> Published:
    return Published(state=State.UNAVAILABLE, version=request.base, cause=cause)


async def _put_body(
    store: platform.ObjectStore, digest: str, body: bytes, clock: timer.Timer
) -> bool:
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await timer.wait_until(clock, timer.now(clock) + RETRY_INTERVAL_S)
        # Writing the same body under its digest again is idempotent.
        if isinstance(await store.put(digest, body), result.Success):
            return True
    return False


async def _commit_entry(
    services: platform.Platform,
    request: PublishRequest,
    entry: Entry,
    row_version: int,
    clock: timer.Timer,
) -> Published:
    """Commit an entry, and repeat the attempt until the outcome is known.

    Every attempt expects the same row versions, so at most one takes effect, even if an earlier one
    reaches the store late. The history row is written together with the head row and never again,
    so it shows whose publication took effect.
    """
    value = msgspec.json.encode(entry)
    log_key = name_log_row(entry.version)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await timer.wait_until(clock, timer.now(clock) + RETRY_INTERVAL_S)
        state = await services.table.commit(
            {HEAD_KEY: row_version, log_key: 0}, {HEAD_KEY: value, log_key: value}
        )
        if state is platform.CommitState.COMMITTED:
            return _accept(entry, "")
        written = await read_version(services.table, entry.version)
        if not isinstance(written, result.Success):
            continue
        other = written.unwrap()
        if other is not None and _is_same_publication(other, entry):
            return _accept(entry, "; the reply was lost, and the entry was found in the history")
        if other is not None:
            return await _explain_conflict(services, request, other)
        if state is platform.CommitState.CONFLICT:
            cause = "refused: the head was changed outside the history; nothing was published"
            return Published(state=State.CONFLICT, version=request.base, cause=cause)
    cause = (
        f"it is not known whether version {entry.version} was published: the table service does "
        f"not answer; look for publication {entry.publication} in the history before trying again"
    )
    return Published(state=State.UNKNOWN, version=entry.version, cause=cause)


def _is_same_publication(left: Entry, right: Entry) -> bool:
    return (left.publication, left.digest, left.author) == (
        right.publication,
        right.digest,
        right.author,
    )


def _accept(entry: Entry, remark: str) -> Published:
    return Published(
        state=State.ACCEPTED,
        version=entry.version,
        cause=f"version {entry.version} is published{remark}",
    )


async def _explain_conflict(
    services: platform.Platform, request: PublishRequest, other: Entry | None
) -> Published:
    if other is None:
        cause = f"refused: planned on version {request.base}, but no version is in force"
        return Published(state=State.CONFLICT, version=request.base, cause=cause)
    cause = (
        f"refused: planned on version {request.base}, but {other.author} published version "
        f"{other.version} at {other.at} ({other.note or 'no note'}); nothing of yours was "
        "published; merge the changes below and plan again"
    )
    return Published(
        state=State.CONFLICT,
        version=other.version,
        cause=cause,
        other=other,
        differences=await _list_differences(services, request, other),
    )


async def _list_differences(
    services: platform.Platform, request: PublishRequest, other: Entry
) -> list[str]:
    other_objects = await read_objects(services.objects, other)
    own_objects = objects.decode_body(request.body)
    if not (isinstance(other_objects, result.Success) and isinstance(own_objects, result.Success)):
        return ["what differs is not known: the objects cannot be read at present"]
    base = await _read_base(services, request.base)
    if base is None:
        changes = plan.diff_objects(own_objects.unwrap(), other_objects.unwrap())
        return _truncate(
            [f"in force, unlike yours: {plan.render_change(change)}" for change in changes]
        )
    changes = plan.diff_objects(base, other_objects.unwrap())
    own_changes = {
        (change.kind, change.name) for change in plan.diff_objects(base, own_objects.unwrap())
    }
    lines = [
        f"{other.author}: {plan.render_change(change)}"
        + (" (you change it too)" if (change.kind, change.name) in own_changes else "")
        for change in changes
    ]
    return _truncate(lines) or ["the objects in force are the same as those planned on"]


async def _read_base(
    services: platform.Platform, version: identity.ConfigVersion
) -> objects.ObjectSet | None:
    if version == 0:
        return objects.ObjectSet(objects=[])
    entry = await read_version(services.table, version)
    if not isinstance(entry, result.Success) or entry.unwrap() is None:
        return None
    return (await read_objects(services.objects, entry.unwrap())).value_or(None)


def _truncate(lines: list[str]) -> list[str]:
    if len(lines) <= MAX_LISTED:
        return lines
    return [*lines[:MAX_LISTED], f"and {len(lines) - MAX_LISTED} more changes"]
