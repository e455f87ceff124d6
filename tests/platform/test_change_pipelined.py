"""Tests of changes of the configuration, and of stops, beside requests that were sent ahead.

The phases are those of the first request of a connection, behind which further ones have arrived.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import functools
import math

import pytest
import trio
import trio.testing

from ebonyvalve.platform import daemon
from tests.platform import change as world_module
from tests.platform import test_change, test_gone, test_pipelining

Act = collections.abc.Callable[[], None]
# Longer than what is left of the time-out of ``/brief/`` when the last answers are whole, and too
# short for the node to refuse requests because its event loop lags.
LATE_S = 0.02
# Requests that run at the same moment would be spread over the targets in any order.
GAP_S = 0.001
# The time that the rest of a request takes to arrive; all before it have been answered then.
REST_S = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Phase:
    """Requests that overlap, and when something happens beside them.

    ``paths`` are those of the requests, ``statuses`` the answers that they get whatever happens.
    ``at_s`` is the time after they were sent. With ``is_late``, the time-outs of ``/brief/`` have
    passed after the next write to the caller, or with ``is_late_hop`` to the entry node. With
    ``is_queued`` all slots of the targets are taken. ``behind`` are the statuses of the requests
    that have to wait for those that overlap.
    """

    paths: tuple[str, ...]
    at_s: float
    statuses: tuple[int, ...] = (200, 200, 200)
    is_late: bool = False
    is_late_hop: bool = False
    is_queued: bool = False
    behind: frozenset[int] = frozenset({200})


BEHIND = ("/reads/work", "/reads/soon")
PHASES = {
    "waiting": Phase(paths=("/reads/work", *BEHIND), at_s=0.2, is_queued=True),
    "timeout-waiting": Phase(
        paths=("/brief/work", *BEHIND), at_s=0.2, statuses=(503, 200, 200), is_queued=True
    ),
    "running": Phase(paths=("/reads/work", *BEHIND), at_s=0.2),
    "in-answer": Phase(paths=("/reads/large", *BEHIND), at_s=0.7),
    "held": Phase(paths=("/reads/late", "/reads/large", "/reads/fast"), at_s=0.7),
    "broken-off": Phase(paths=("/reads/cut", *BEHIND), at_s=0.6),
    "broken-off-in-large": Phase(paths=("/reads/large-cut", *BEHIND), at_s=0.4),
    "broken-off-in-large-others-run": Phase(
        paths=("/reads/large-cut", "/reads/late", "/reads/late"),
        at_s=0.4,
        # The first request is sent again, and has to wait behind the others for a slot.
        behind=frozenset({200, 504}),
    ),
    "timeout-before-head": Phase(
        paths=("/brief/late", *BEHIND), at_s=0.6, statuses=(504, 200, 200)
    ),
    "timeout-in-answer": Phase(
        paths=("/brief/halves", *BEHIND), at_s=0.6, statuses=(504, 200, 200)
    ),
    "timeout-in-large": Phase(paths=("/brief/large", *BEHIND), at_s=0.6, statuses=(504, 200, 200)),
    "timeout-in-large-others-run": Phase(
        paths=("/brief/large", "/reads/late", "/reads/late"), at_s=0.6, statuses=(504, 200, 200)
    ),
    "timeout-at-end": Phase(paths=("/brief/last", *BEHIND), at_s=0.7, is_late=True),
    "timeout-at-end-of-chunks": Phase(paths=("/brief/chunks", *BEHIND), at_s=0.7, is_late=True),
    "timeout-at-end-of-large": Phase(paths=("/brief/large-last", *BEHIND), at_s=0.7, is_late=True),
    "timeout-at-end-others-run": Phase(
        paths=("/brief/last", "/reads/late", "/reads/late"), at_s=0.7, is_late=True
    ),
    "timeout-at-end-of-hop": Phase(
        paths=("/brief/last", *BEHIND),
        at_s=0.7,
        is_late=True,
        is_late_hop=True,
    ),
    "timeout-behind": Phase(
        paths=("/reads/late", "/brief/late", "/reads/work"), at_s=0.6, statuses=(200, 504, 200)
    ),
    "timeout-at-end-behind": Phase(
        paths=("/reads/soon", "/brief/last", "/reads/late"), at_s=0.7, is_late=True
    ),
    "timeout-in-large-behind": Phase(
        paths=("/reads/soon", "/brief/large", "/reads/late"), at_s=0.6, statuses=(200, 504, 200)
    ),
}

# Other forms of the phases above, which are played without changes and stops to save time.
VARIANTS = {
    "broken-off-in-large",
    "broken-off-in-large-others-run",
    "timeout-waiting",
    "timeout-in-large-others-run",
    "timeout-at-end-of-chunks",
    "timeout-at-end-of-large",
    "timeout-at-end-others-run",
}
MAIN_PHASES = [name for name in PHASES if name not in VARIANTS]


class Tail(enum.Enum):
    """What follows the requests that overlap: an order with further requests, or a part of one."""

    NONE = "none"
    ORDER = "order"
    BODY = "body"
    HEAD = "head"


# How much of the last request is sent with the others.
SENT_BYTES = {Tail.BODY: -10_000, Tail.HEAD: 40}


@dataclasses.dataclass(kw_only=True)
class Lateness:
    """Makes time-outs pass after the next write while ``is_due``."""

    clock: trio.testing.MockClock
    is_due: bool = False


async def record_write(lateness: Lateness) -> None:
    """Let the time pass after a write, as it does when the process gets no processor time."""
    if lateness.is_due:
        lateness.is_due = False
        lateness.clock.jump(LATE_S)
        # The event loop finds out which time-outs have passed.
        await trio.lowlevel.cancel_shielded_checkpoint()


@dataclasses.dataclass(kw_only=True)
class Case:
    """A connection to the node ``entry`` with the requests of a phase and what follows them.

    With ``is_reused``, it has served several requests before.
    """

    phase: Phase
    tail: Tail
    entry: str
    is_reused: bool


def build_request(path: str, name: str, body: bytes = b"") -> bytes:
    """Return a request that is bounded by the time-out of its route only."""
    method = "POST" if path.startswith("/orders/") else "GET"
    request = test_gone.build_request(method, path, name, body)
    return request.replace(b"x-deadline-ms: 2000\r\n", b"")


def build_requests(case: Case) -> list[bytes]:
    paths = list(case.phase.paths)
    if case.tail is Tail.ORDER:
        paths += ["/orders/work", "/reads/work", "/orders/fast"]
    elif case.tail is not Tail.NONE:
        paths += ["/orders/work"]
    requests = [build_request(path, f"r{number}") for number, path in enumerate(paths)]
    if case.tail is Tail.BODY:
        requests[-1] = build_request(paths[-1], f"r{len(paths) - 1}", test_change.BODY)
    return requests


async def send_before(stream: trio.abc.Stream) -> None:
    """Have several requests answered on a connection, one after the other and at once."""
    for number, paths in enumerate((["/orders/fast"], ["/reads/soon", "/reads/fast"])):
        batch = [build_request(path, f"before-{number}-{path}") for path in paths]
        await stream.send_all(b"".join(batch))
        answers = await test_pipelining.receive(stream, len(batch))
        assert [status for status, _ in answers.received] == [200] * len(batch)


@dataclasses.dataclass(kw_only=True)
class Played:
    """The answers to the requests of a case, and when the last one was read."""

    answers: test_pipelining.Answers
    ended_at: float


async def play(
    world: world_module.World,
    clock: trio.testing.MockClock,
    case: Case,
    act: Act,
    *,
    gap_s: float = GAP_S,
) -> Played:
    """Send the requests of a case, act, and read their answers.

    :param gap_s: seconds between two requests; without, they are sent in one write.
    """
    phase = case.phase
    lateness = Lateness(clock=clock)
    kind = "peers" if phase.is_late_hop else "callers"
    hook = functools.partial(record_write, lateness)
    world.write_hooks = {f"{kind}-{name}": hook for name in world.daemons}
    stream = (await world_module.open_client(world, case.entry)).stream
    if case.is_reused:
        await send_before(stream)
    if phase.is_queued:
        for number in range(4):
            other = await world_module.open_client(world, case.entry)
            await other.stream.send_all(build_request("/orders/late", f"other-{number}"))
            await trio.sleep(0.01)
    requests = build_requests(case)
    sent_bytes = SENT_BYTES.get(case.tail, len(requests[-1]))
    rest = requests[-1][sent_bytes:]
    requests[-1] = requests[-1].removesuffix(rest)
    for data in requests if gap_s else [b"".join(requests)]:
        await stream.send_all(data)
        await trio.sleep(gap_s)
    played: Played | None = None

    async def receive() -> None:
        nonlocal played
        answers = await test_pipelining.receive(stream, len(requests))
        played = Played(answers=answers, ended_at=trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive)
        await trio.sleep(phase.at_s)
        act()
        lateness.is_due = phase.is_late
        if rest:
            await trio.sleep(REST_S if case.tail is Tail.HEAD else 0.2)
            # An earlier answer may have closed the connection.
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(rest)
    assert played is not None
    return played


def check(
    world: world_module.World,
    case: Case,
    answers: test_pipelining.Answers,
    *,
    refusals: collections.abc.Set[int] = frozenset(),
    behind: collections.abc.Set[int] = frozenset({200}),
    may_cut: bool = False,
    may_lose: bool = False,
    may_miss_last: bool = False,
) -> None:
    """Check that each request has its own answer or a refusal, in order, and none ran in vain.

    Requests behind an answer that closes the connection may have none if no target has run them.

    :param refusals: statuses that requests may have besides those of the phase.
    :param behind: statuses of the requests that had to wait for those that overlap.
    :param may_cut: whether a large answer may be cut that has begun.
    :param may_lose: whether requests that may be repeated may have run behind a cut answer.
    :param may_miss_last: whether the connection may end before the last request.
    """
    phase = case.phase
    names = [f"r{number}" for number in range(len(build_requests(case)))]
    orders = names[len(phase.paths) :]
    ran = [name for ids in world.ran.values() for name in ids]
    seen = answers, world.ran
    for position, (status, answered) in enumerate(answers.received):
        assert answered == (names[position] if status == 200 else ""), seen
        allowed = {phase.statuses[position]} if position < len(phase.paths) else behind
        # Both nodes may find that the time-out has passed.
        is_late = phase.is_late_hop and position == 0
        assert status in {*allowed, *refusals, *([504] if is_late else [])}, seen
        # This status says that the request has not run.
        assert status != 503 or names[position] not in {*orders} & {*ran}, seen
    unanswered = names[len(answers.received) :]
    if unanswered and not answers.is_closed:
        # The connection has ended without a word.
        is_cut = may_cut and unanswered[0] in list_large(phase)
        assert is_cut or (may_miss_last and unanswered == names[-1:]), seen
        unanswered = unanswered[1:] if is_cut else unanswered
    in_vain = set(unanswered) & set(ran)
    assert not in_vain & set(orders if may_lose else names), seen
    assert all(ran.count(name) <= 1 for name in orders), seen


def list_large(phase: Phase) -> list[str]:
    """Return the names of the requests that get a large answer."""
    return [f"r{i}" for i, path in enumerate(phase.paths) if "/large" in path]


@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("entry", "ab")
@pytest.mark.parametrize("tail", Tail, ids=lambda tail: tail.value)
@pytest.mark.parametrize("phase", PHASES)
async def test_requests_sent_ahead_are_answered(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    phase: str,
    tail: Tail,
    entry: str,
    is_reused: bool,
) -> None:
    """Guards against requests that are lost, run in vain or keep buffers behind one that ends."""
    case = Case(phase=PHASES[phase], tail=tail, entry=entry, is_reused=is_reused)
    gap_s = GAP_S if case.phase.is_late_hop else 0.0
    async with trio.open_nursery() as nursery:
        world = await world_module.open_world(nursery, monkeypatch)
        played = await play(world, autojump_clock, case, lambda: None, gap_s=gap_s)
        await trio.sleep(GAP_S)
        assert world.daemons[entry].origin.pipelining.read_ahead >= len(case.phase.paths) - 1
        for running in world.daemons.values():
            assert not running.origin.scopes
            assert not running.origin.buffer_usage.total_bytes
        nursery.cancel_scope.cancel()
    assert not played.answers.is_closed
    check(world, case, played.answers, behind=case.phase.behind)


# A part of the product of tails, entry nodes, connections and nodes at which a change takes effect.
PLACES = [
    (Tail.ORDER, "a", True, "a"),
    (Tail.BODY, "a", True, "abcd"),
    (Tail.HEAD, "b", False, "abcd"),
]


@pytest.mark.parametrize(
    ("tail", "entry", "is_reused", "nodes"),
    [pytest.param(*place, id=f"{place[0].value}-{place[1]}-{place[3]}") for place in PLACES],
)
@pytest.mark.parametrize("phase", MAIN_PHASES)
@pytest.mark.parametrize("change", test_change.CHANGES)
async def test_requests_sent_ahead_beside_a_change_are_answered(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    change: str,
    phase: str,
    tail: Tail,
    entry: str,
    is_reused: bool,
    nodes: str,
) -> None:
    """Guards against a change of the configuration that loses requests that were sent ahead."""
    case = Case(phase=PHASES[phase], tail=tail, entry=entry, is_reused=is_reused)
    changed = test_change.CHANGES[change]
    async with trio.open_nursery() as nursery:
        world = await world_module.open_world(nursery, monkeypatch)
        act = functools.partial(test_change.apply_change, world, nursery, change, nodes)
        played = await play(world, autojump_clock, case, act)
        nursery.cancel_scope.cancel()
    behind = {200}
    if entry in nodes:
        behind |= {changed.status, changed.body_status}
        # A request that waits longer than its time-out has not run.
        behind |= {503} if changed.status == 504 else set()
    # Only a body that is too large closes the connection.
    assert changed.body_status or not played.answers.is_closed
    check(world, case, played.answers, behind=behind)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stop:
    """A part of a planned stop, which shorter times reach at once, and the refusals it gives."""

    unready_s: float = 0.0
    grace_s: float = 6.0
    refusals: frozenset[int] = frozenset({503})


STOPS = {
    "announcing": Stop(unready_s=daemon.UNREADY_S),
    "refusing": Stop(),
    # Requests that are running end as failed.
    "cut-off": Stop(grace_s=daemon.EXIT_MARGIN_S, refusals=frozenset({502, 503})),
}


@pytest.mark.parametrize(("entry", "stopped"), ["aa", "ab", "bb"])
@pytest.mark.parametrize("tail", [Tail.ORDER, Tail.BODY], ids=lambda tail: tail.value)
@pytest.mark.parametrize("phase", MAIN_PHASES)
@pytest.mark.parametrize("stop", STOPS)
async def test_requests_sent_ahead_beside_a_stop_are_answered(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    stop: str,
    phase: str,
    tail: Tail,
    entry: str,
    stopped: str,
) -> None:
    """Guards against a stop of the entry node, or beside the target, that loses what was sent."""
    case = Case(phase=PHASES[phase], tail=tail, entry=entry, is_reused=tail is not Tail.BODY)
    part = STOPS[stop]
    monkeypatch.setattr(daemon, "UNREADY_S", part.unready_s)
    stopped_at = math.inf
    async with trio.open_nursery() as nursery:
        world = await world_module.open_world(nursery, monkeypatch)
        running = world.daemons[stopped]
        running.node.place = dataclasses.replace(running.node.place, grace_s=part.grace_s)

        async def run_stop() -> None:
            nonlocal stopped_at
            await daemon.stop(running)
            stopped_at = trio.current_time()
            world_module.end_node(world, stopped)

        played = await play(
            world, autojump_clock, case, functools.partial(nursery.start_soon, run_stop)
        )
        nursery.cancel_scope.cancel()
    assert entry == stopped or not played.answers.is_closed
    check(
        world,
        case,
        played.answers,
        refusals=part.refusals,
        may_cut=stop == "cut-off",
        # Nothing can follow an answer that the end of the process cuts.
        may_lose=stop == "cut-off" and entry == stopped,
        may_miss_last=tail in SENT_BYTES and entry == stopped and played.ended_at >= stopped_at,
    )
