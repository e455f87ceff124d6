"""State of one node that its requests share: ownership, admission, requests in flight."""

import collections
import collections.abc
import dataclasses
import random

import trio

from ebonyvalve.process import (
    accounting,
    budget,
    identity,
    lease,
    limit,
    quarantine,
    straggler,
    target,
    token_memory,
)


@dataclasses.dataclass(kw_only=True)
class Flight:
    """A request in flight at the local target.

    ``shard`` is the shard under which it runs; cancelling ``scope`` cancels it.
    ``is_cancellable`` says whether that loses nothing: the request may be sent again, or was not
    sent yet. ``is_reply_begun`` says whether its caller has a part of a reply. ``find_run_end``
    returns the time in seconds after which the target cannot run it.
    """

    shard: identity.ShardId
    fingerprint: identity.Fingerprint
    is_cancellable: collections.abc.Callable[[], bool]
    is_reply_begun: collections.abc.Callable[[], bool]
    find_run_end: collections.abc.Callable[[], float]
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)


@dataclasses.dataclass(kw_only=True)
class Site:
    """State of one node, shared by its requests. Times are in seconds on the clock of ``now``.

    ``flights`` holds the requests that run at the local target, by shard. ``lost_requests`` holds
    the requests whose connection to it broke recently, each with the time. ``admission_events``
    holds an event for each request that waits for admission. ``latencies`` holds the latencies
    per service, and ``in_flight`` the number of requests in flight per node.

    Each of the events ``changed``, ``flights_ended`` and ``started`` is replaced by a new one
    when it is set. ``changed`` is set when ownership, members or the target's state change,
    ``flights_ended`` when the last request of a shard ends at the local target.
    """

    node: identity.NodeId
    zone: identity.ZoneId
    incarnation: identity.Incarnation
    now: collections.abc.Callable[[], float]
    read_node: collections.abc.Callable[[], lease.Node]
    random: random.Random
    target: target.Target
    admission: limit.Target
    account: accounting.Account
    latencies: dict[identity.ServiceId, straggler.ServiceLatencies] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(straggler.ServiceLatencies)
    )
    in_flight: collections.Counter[identity.NodeId] = dataclasses.field(
        default_factory=collections.Counter
    )
    retries: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(share=budget.RETRY_SHARE)
    )
    hedges: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(share=budget.HEDGE_SHARE)
    )
    quarantined: quarantine.Quarantine = dataclasses.field(default_factory=quarantine.Quarantine)
    quota: token_memory.Quota = dataclasses.field(default_factory=token_memory.Quota)
    token_memories: dict[identity.ShardId, token_memory.Memory] = dataclasses.field(
        default_factory=dict
    )
    flights: dict[identity.ShardId, list[Flight]] = dataclasses.field(default_factory=dict)
    lost_requests: list[tuple[float, identity.Fingerprint]] = dataclasses.field(
        default_factory=list
    )
    # The latest grant end sent to the target, in seconds.
    sent_grant_end_s: float = 0.0
    # By shard, until when the target may still run a request whose connection ended unanswered.
    possible_runs: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    admission_events: dict[limit.Ticket, trio.Event] = dataclasses.field(default_factory=dict)
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    flights_ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    # Set when a request starts at the local target while none is in flight there.
    started: trio.Event = dataclasses.field(default_factory=trio.Event)
    is_stopping: bool = False
    # Since when a drain order takes this node out of service, in seconds.
    drained_since_s: float | None = None


# A crashed target announces its new incarnation within a few seconds of its restart; requests lost
# earlier are not taken for the cause of the crash.
LOST_REQUEST_RETENTION_S = 5.0
# A drained zone must get no new work after 3 s, even if its shards cannot move because the store
# is down or slow. Up to 0.5 s pass before a node has the configuration.
DRAIN_LIMIT_S = 2.5


def is_drained(site: Site) -> bool:
    """Return whether the node has been drained for more than :data:`DRAIN_LIMIT_S`.

    From then on it accepts no new requests.

    :param site: the node's state.
    """
    since_s = site.drained_since_s
    return since_s is not None and site.now() - since_s > DRAIN_LIMIT_S


def notify(site: Site) -> None:
    """Wake the tasks that wait for a change of ownership, members or the target's state.

    :param site: the node's state.
    """
    site.changed.set()
    site.changed = trio.Event()


def find_memory(
    site: Site, shard: identity.ShardId, fence: identity.Fence, *, life_s: float
) -> token_memory.Memory:
    """Return the token memory of a shard; create it if it is missing, closed or of another fence.

    :param site: the node's state.
    :param shard: the shard.
    :param fence: the fencing token under which the node holds the shard.
    :param life_s: seconds for which a token is valid.
    """
    memory = site.token_memories.get(shard)
    if memory is None or memory.is_closed or memory.fence != fence:
        if memory is not None and not memory.is_closed:
            token_memory.drop(memory)
        memory = token_memory.create(shard=shard, fence=fence, life_s=life_s, quota=site.quota)
        site.token_memories[shard] = memory
    return memory


def begin_flight(site: Site, flight: Flight) -> None:
    """Record that a request starts at the local target.

    :param site: the node's state.
    :param flight: the request.
    """
    site.flights.setdefault(flight.shard, []).append(flight)
    if site.in_flight[site.node] == 0:
        site.started.set()
        site.started = trio.Event()
    site.in_flight[site.node] += 1


def end_flight(site: Site, flight: Flight) -> None:
    """Record that a request has ended at the local target.

    :param site: the node's state.
    :param flight: passed to :func:`begin_flight`.
    """
    flights = site.flights[flight.shard]
    flights.remove(flight)
    site.in_flight[site.node] -= 1
    if not flights:
        del site.flights[flight.shard]
        site.flights_ended.set()
        site.flights_ended = trio.Event()


def list_flights(
    site: Site, shards: collections.abc.Collection[identity.ShardId] | None = None
) -> list[Flight]:
    """Return the requests in flight at the local target.

    :param site: the node's state.
    :param shards: the shards concerned; ``None`` for all.
    """
    return [
        flight
        for shard, flights in site.flights.items()
        if shards is None or shard in shards
        for flight in flights
    ]


def cancel_flights(
    site: Site, shards: collections.abc.Collection[identity.ShardId] | None = None
) -> int:
    """Cancel the requests in flight that can be sent again; return their number.

    A missed probe or heartbeat does not show that the target has stopped, and cancelling the others
    would lose their replies. They end at their deadline or when their shard is released.

    :param site: the node's state.
    :param shards: the shards concerned; ``None`` for all.
    """
    chosen = [flight for flight in list_flights(site, shards) if flight.is_cancellable()]
    for flight in chosen:
        flight.scope.cancel()
    return len(chosen)


def record_crash(site: Site, now_s: float) -> int:
    """Quarantine the requests that the target ran when it crashed; return their number.

    Requests whose connection broke in the last :data:`LOST_REQUEST_RETENTION_S` seconds count too.

    :param site: the node's state.
    :param now_s: the time in seconds.
    """
    fingerprints = [flight.fingerprint for flights in site.flights.values() for flight in flights]
    fingerprints += [
        name for at_s, name in site.lost_requests if now_s - at_s <= LOST_REQUEST_RETENTION_S
    ]
    site.lost_requests.clear()
    quarantine.record_crash(site.quarantined, fingerprints, now_s)
    return len(fingerprints)


def record_lost_request(site: Site, fingerprint: identity.Fingerprint, now_s: float) -> None:
    """Record a request whose connection to the local target broke.

    :param site: the node's state.
    :param fingerprint: the fingerprint of the request.
    :param now_s: the time in seconds.
    """
    site.lost_requests = [
        entry for entry in site.lost_requests if now_s - entry[0] <= LOST_REQUEST_RETENTION_S
    ]
    site.lost_requests.append((now_s, fingerprint))


def wake_admitted(site: Site, woken: limit.Dequeued) -> None:
    """Wake the requests that left the admission queue, to run or to be refused.

    :param site: the node's state.
    :param woken: the tickets, from :mod:`limit`.
    """
    for ticket in (*woken.run, *woken.expired):
        event = site.admission_events.pop(ticket, None)
        if event is not None:
            event.set()


def update_grant_end_ms(site: Site) -> int:
    """Return the grant end for the next request or probe, in milliseconds, and record it as sent.

    The grant end is the time until which the target may serve, on the clock of the VM, which node
    and target share. A target that checks grants neither starts nor applies a request after it. So
    a node that is paused between its own check and the sending of a request does no harm.

    The grant ends with the node's lease, or one lease duration after the first request that the
    target has not answered, whichever is earlier. A target that froze may run the requests that it
    has received once it resumes, and its shards can move only when it can no longer do so. For the
    same reason a target that is down gets no later grant end.

    :param site: the node's state; the caller sends a request or probe next.
    """
    if not target.is_up(site.target):
        return int(site.sent_grant_end_s * 1000)
    now_s = site.now()
    if site.in_flight[site.node] <= 1:
        # Abandoned requests don't show that the target is silent once nothing else is in flight. A
        # request that is about to be sent is already counted as in flight itself.
        site.target.unanswered_since_s = site.target.last_reply_s
    unanswered_since_s = target.record_sent(site.target, now_s)
    end_s = min(site.read_node().lease_end_s, unanswered_since_s + lease.LEASE_S)
    site.sent_grant_end_s = max(site.sent_grant_end_s, end_s)
    # The lease end is minus infinity before the first lease.
    return int(max(end_s, 0.0) * 1000)


def record_possible_run(site: Site, shard: identity.ShardId, until_s: float) -> None:
    """Record that the target may still run a request whose connection has ended.

    :param site: the node's state.
    :param shard: the shard of the request.
    :param until_s: the time in seconds after which it cannot run: its deadline or the grant end.
    """
    site.possible_runs[shard] = max(site.possible_runs.get(shard, until_s), until_s)
