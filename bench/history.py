"""Records what happened in a simulated run of the mesh, and checks it against the invariants."""

import collections
import collections.abc
import dataclasses
import enum

from bench import world as worlds
from ebonyvalve.process import toy

# The design page makes "after a few seconds" concrete with these bounds.
DRAIN_S = 3.0
IN_FORCE_S = 5.0


class Rule(enum.Enum):
    """The invariants that are checked; values are those of the table in docs/design.md."""

    ONE_OWNER = "A1 one owner"
    COMMITTED = "A2 acknowledged assignments are committed"
    COLD = "A3 cold targets"
    DRAINED = "A4/A8 no new work after a drain"
    WHOLE = "A5 whole answer to the own request"
    NOT_RUN = "A6 not-run is true"
    ONCE = "A7 at most once"
    IN_FORCE = "A10 configuration in force, never reverted"
    NO_EXCEPTION = "no node ends by an exception"
    CRASH = "a crashing request takes down no second target"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A broken rule and the event that broke it."""

    rule: Rule
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentRequest:
    """One request as its caller saw it. Times are in seconds of simulated time.

    ``echoed`` is the request id that the target returned, empty if it returned none.
    """

    request_id: str
    operation: str
    service: str
    key: str
    method: str
    path: str
    node: str
    start_s: float
    end_s: float
    status: int
    verdict: str
    reason: str
    echoed: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """A period in which a zone was drained, in seconds of simulated time."""

    zone: str
    start_s: float
    end_s: float


@dataclasses.dataclass(kw_only=True)
class History:
    """Everything that the checkers read. Times are in seconds of simulated time."""

    sent: list[SentRequest] = dataclasses.field(default_factory=list)
    runs: list[toy.Run] = dataclasses.field(default_factory=list)
    # Services whose keys have owners.
    keyed: frozenset[str] = frozenset()
    # The zone of each node.
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    # (shard, node, fencing token) of every committed assignment.
    committed: set[tuple[str, str, int]] = dataclasses.field(default_factory=set)
    drains: list[Drain] = dataclasses.field(default_factory=list)
    # How often the target of each node was overloaded.
    overloads: dict[str, int] = dataclasses.field(default_factory=dict)
    # (time, node, version) of every configuration that a node has put in force.
    adoptions: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)
    # (time, version) of every publication that was accepted.
    published: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    # Configuration version of each node that was running when the run ended.
    final_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    end_s: float = 0.0
    # (node, traceback) of every node that ended by an exception.
    crashes: list[tuple[str, str]] = dataclasses.field(default_factory=list)


def collect(world: worlds.World, sent: list[SentRequest], drains: list[Drain]) -> History:
    """Return the history of a run that has ended.

    :param world: the mesh.
    :param sent: the requests of its callers.
    :param drains: when which zone was drained.
    """
    return History(
        sent=sent,
        runs=[run for host in world.hosts.values() for run in host.toy.runs],
        keyed=world.shape.keyed,
        zones={name: host.cfg.zone for name, host in world.hosts.items()},
        committed=set(world.committed),
        drains=drains,
        overloads={name: host.toy.overloads for name, host in world.hosts.items()},
        adoptions=[(at_s, str(node), version) for at_s, node, version in world.adoptions],
        published=list(world.published),
        final_versions={
            name: host.node.snapshot.version
            for name, host in world.hosts.items()
            if host.node is not None and host.node.snapshot is not None
        },
        crashes=[(str(node), text) for node, text in world.crashes],
        end_s=max((entry.end_s for entry in sent), default=0.0),
    )


def check(history: History) -> list[Violation]:
    """Return every violation of a rule.

    :param history: of a run.
    """
    violations: list[Violation] = []
    for checker in CHECKERS:
        violations += checker(history)
    return violations


def check_one_owner(history: History) -> list[Violation]:
    """Find keys that two targets served at the same time, or whose fencing token did not increase.

    :param history: of a run.
    """
    violations = []
    runs_by_key: dict[tuple[str, str], list[toy.Run]] = collections.defaultdict(list)
    for run in history.runs:
        service = run.path.split("/")[1]
        if service in history.keyed and run.is_applied:
            runs_by_key[service, run.key].append(run)
    for name, runs in runs_by_key.items():
        runs.sort(key=lambda run: run.start_s)
        for earlier, later in zip(runs, runs[1:], strict=False):
            if earlier.node == later.node:
                continue
            if later.start_s < (earlier.end_s or 0.0):
                text = f"{name}: {earlier.node} and {later.node} at {later.start_s:.3f} s"
                violations.append(Violation(rule=Rule.ONE_OWNER, text=text))
            if read_fence(later) <= read_fence(earlier):
                text = f"{name}: {later.node} served under {later.fence} after {earlier.fence}"
                violations.append(Violation(rule=Rule.ONE_OWNER, text=text))
    return violations


def check_committed(history: History) -> list[Violation]:
    """Find requests that ran under an assignment that was never committed to the table.

    :param history: of a run.
    """
    return [
        Violation(rule=Rule.COMMITTED, text=f"{run.node} ran {run.path} under {run.fence}")
        for run in history.runs
        if run.path.split("/")[1] in history.keyed
        and (*split_fence(run), run.node)
        not in {(shard, fence, node) for shard, node, fence in history.committed}
    ]


def check_cold(history: History) -> list[Violation]:
    """Find targets that were overloaded, as happens to cold ones without slow start.

    :param history: of a run.
    """
    return [
        Violation(rule=Rule.COLD, text=f"the target beside {name} was overloaded {count} times")
        for name, count in history.overloads.items()
        if count
    ]


def check_drained(history: History) -> list[Violation]:
    """Find requests that began to run in a zone more than ``DRAIN_S`` after its drain.

    :param history: of a run.
    """
    return [
        Violation(
            rule=Rule.DRAINED,
            text=f"{run.node} began {run.path} {run.start_s - drain.start_s:.3f} s after the drain",
        )
        for drain in history.drains
        for run in history.runs
        if history.zones[run.node] == drain.zone
        and drain.start_s + DRAIN_S < run.start_s < drain.end_s
    ]


def check_whole(history: History) -> list[Violation]:
    """Find callers that received the answer to another request.

    :param history: of a run.
    """
    return [
        Violation(rule=Rule.WHOLE, text=f"{entry.request_id} got the answer to {entry.echoed}")
        for entry in history.sent
        if entry.echoed and entry.echoed != entry.request_id
    ]


def check_not_run(history: History) -> list[Violation]:
    """Find requests that ran although the outcome sent to their caller was ``not-run``.

    :param history: of a run.
    """
    ran = {run.request_id for run in history.runs if run.is_applied}
    return [
        Violation(rule=Rule.NOT_RUN, text=f"{entry.request_id} ({entry.reason}) ran")
        for entry in history.sent
        if entry.verdict == "not-run" and entry.request_id in ran
    ]


def check_once(history: History) -> list[Violation]:
    """Find non-idempotent operations that took effect more than once.

    :param history: of a run.
    """
    counts = collections.Counter(
        run.path for run in history.runs if run.is_applied and run.method not in ("GET", "HEAD")
    )
    return [
        Violation(rule=Rule.ONCE, text=f"{path} ran {count} times")
        for path, count in counts.items()
        if count > 1
    ]


def check_in_force(history: History) -> list[Violation]:
    """Find nodes that reverted to an earlier configuration, or end without an accepted one.

    :param history: of a run.
    """
    violations = []
    latest_versions: dict[str, int] = {}
    for _, node, version in history.adoptions:
        if version < latest_versions.get(node, 0):
            text = f"{node} went from version {latest_versions[node]} to {version}"
            violations.append(Violation(rule=Rule.IN_FORCE, text=text))
        latest_versions[node] = version
    due_versions = [
        version for at_s, version in history.published if at_s + IN_FORCE_S < history.end_s
    ]
    for node, version in history.final_versions.items():
        if due_versions and version < max(due_versions):
            text = f"{node} has version {version}, accepted was {max(due_versions)}"
            violations.append(Violation(rule=Rule.IN_FORCE, text=text))
    return violations


def check_crash(history: History) -> list[Violation]:
    """Find crashing requests that ran at more than one target.

    :param history: of a run.
    """
    violations = []
    runs_by_path: dict[str, list[toy.Run]] = collections.defaultdict(list)
    for run in history.runs:
        if "/crash" in run.path:
            runs_by_path[run.path].append(run)
    for path, runs in runs_by_path.items():
        if len({run.node for run in runs}) > 1:
            text = f"{path} ran at {sorted({run.node for run in runs})}"
            violations.append(Violation(rule=Rule.CRASH, text=text))
    return violations


def check_exceptions(history: History) -> list[Violation]:
    """Find nodes that ended by an exception.

    :param history: of a run.
    """
    return [
        Violation(rule=Rule.NO_EXCEPTION, text=f"{node}: {text[-300:]}")
        for node, text in history.crashes
    ]


def read_fence(run: toy.Run) -> int:
    """Return the fencing token under which a request ran.

    :param run: the request, as its target recorded it.
    """
    return split_fence(run)[1]


def split_fence(run: toy.Run) -> tuple[str, int]:
    """Return the shard and the fencing token under which a request ran.

    :param run: the request, as its target recorded it.
    """
    shard, _, number = run.fence.rpartition(":")
    return shard, int(number)


Checker = collections.abc.Callable[[History], list[Violation]]
CHECKERS: list[Checker] = [
    check_one_owner,
    check_committed,
    check_cold,
    check_drained,
    check_whole,
    check_not_run,
    check_once,
    check_in_force,
    check_crash,
    check_exceptions,
]
