"""Chooses where a request runs: here, at one other node, later, or not at all."""

import collections.abc
import dataclasses
import enum

from ebonyvalve.process import identity, message, straggler
from ebonyvalve.request import outcome

MAX_CORRECTIONS = 1
# A target in another zone is chosen only if its expected latency is lower by this factor: the hop
# costs up to 1.5 ms and may lose the request between zones, and what this node knows of a remote
# target is older.
ZONE_FACTOR = 1.5
# Candidates drawn from the same zone, and from the other zones together.
CANDIDATES = 2
# Latency factor of a cold target: it can run about one request where a warm one fills its slots.
COLD_FACTOR = 4.0


class Choice(enum.Enum):
    """Where a request runs: here, at another node, after a wait, or not at all."""

    LOCAL = "local"
    HOP = "hop"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A routing choice.

    ``node`` is the node to hop to, or the key's owner, if known, when refused as ``MOVED``.
    """

    choice: Choice
    reason: outcome.Reason = outcome.Reason.NONE
    node: identity.NodeId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetLoad:
    """The load of a target as measured here; ``latency_s`` is ``None`` before the first reply."""

    in_flight: int = 0
    latency_s: float | None = None
    is_bypassed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """What this node knows of the mesh.

    ``find_fence`` returns the fencing token under which this node serves a shard at present, or
    ``None`` if the shard is not granted or was released, or the lease has expired. ``draw(n)``
    returns a random number from 0 to n - 1.
    """

    node: identity.NodeId
    zone: identity.ZoneId
    find_owner: collections.abc.Callable[[identity.ShardId], identity.NodeId | None]
    find_fence: collections.abc.Callable[[identity.ShardId], identity.Fence | None]
    find_load: collections.abc.Callable[[identity.NodeId], TargetLoad]
    members: collections.abc.Mapping[identity.NodeId, message.Member]
    draw: collections.abc.Callable[[int], int]


def choose(
    view: View,
    service: identity.ServiceId,
    *,
    shard: identity.ShardId | None,
    issuer: identity.NodeId | None = None,
    is_hop: bool = False,
    corrections: int = 0,
    corrected: identity.NodeId | None = None,
    tried: collections.abc.Container[identity.NodeId] = (),
) -> Route:
    """Choose where a request runs.

    :param view: what this node knows.
    :param service: the service.
    :param shard: the key's shard, or ``None`` for services without keys.
    :param issuer: for services without keys, the node that issued the request's token, if any.
    :param is_hop: whether another node sent the request here; it never hops again.
    :param corrections: how often an owner's node corrected this request.
    :param corrected: the owner named by the last correction.
    :param tried: for services without keys, nodes that the request was sent to.
    """
    if shard is not None:
        return choose_owner(
            view, shard, is_hop=is_hop, corrections=corrections, corrected=corrected
        )
    if issuer is not None:
        return choose_issuer(view, issuer, is_hop=is_hop)
    return choose_target(view, service, is_hop=is_hop, tried=tried)


def choose_owner(
    view: View,
    shard: identity.ShardId,
    *,
    is_hop: bool,
    corrections: int = 0,
    corrected: identity.NodeId | None = None,
) -> Route:
    """Choose where a request for a key runs.

    After ``WAIT`` the choice is made again when routes, the lease or the grants change, or at the
    deadline.

    :param view: what this node knows.
    :param shard: the key's shard.
    :param is_hop: whether another node sent the request here; it never hops again.
    :param corrections: how often an owner's node corrected this request.
    :param corrected: the owner named by the last correction.
    """
    own_member = view.members.get(view.node)
    if view.find_fence(shard) is not None:
        if own_member is not None and not own_member.is_target_up:
            return Route(choice=Choice.WAIT, reason=outcome.Reason.NO_TARGET)
        return Route(choice=Choice.LOCAL)
    owner = corrected or view.find_owner(shard) or None
    if owner is None:
        return Route(choice=Choice.WAIT, reason=outcome.Reason.NO_OWNER)
    if owner == view.node:
        return Route(choice=Choice.WAIT, reason=outcome.Reason.LEASE_LAPSED)
    if is_hop:
        return Route(choice=Choice.REFUSE, reason=outcome.Reason.MOVED, node=owner)
    if corrections > MAX_CORRECTIONS:
        return Route(choice=Choice.REFUSE, reason=outcome.Reason.MOVED)
    member = view.members.get(owner)
    if member is None:
        return Route(choice=Choice.WAIT, reason=outcome.Reason.NO_OWNER)
    if not member.is_target_up:
        return Route(choice=Choice.WAIT, reason=outcome.Reason.NO_TARGET)
    return Route(choice=Choice.HOP, node=owner)


def choose_issuer(view: View, issuer: identity.NodeId, *, is_hop: bool) -> Route:
    """Choose where a request with a token for a service without keys runs: at the issuing node.

    A leaving issuer still gets the request, because only it knows whether the token was used. It
    also decides whether the token is from its present incarnation, which this node may not know.

    :param view: what this node knows.
    :param issuer: from ``token.find_issuer``.
    :param is_hop: whether another node sent the request here.
    """
    if issuer == view.node:
        return Route(choice=Choice.LOCAL)
    if issuer not in view.members:
        return Route(choice=Choice.REFUSE, reason=outcome.Reason.TOKEN_EPOCH_LOST)
    if is_hop:
        return Route(choice=Choice.REFUSE, reason=outcome.Reason.MOVED, node=issuer)
    return Route(choice=Choice.HOP, node=issuer)


def choose_target(
    view: View,
    service: identity.ServiceId,
    *,
    is_hop: bool,
    tried: collections.abc.Container[identity.NodeId] = (),
) -> Route:
    """Choose the best target for a request without a token, for a service without keys.

    Two candidates are drawn in this node's zone and two elsewhere; the one with the lowest expected
    latency runs the request. Random candidates keep nodes with the same information from choosing
    the same target at once.

    :param view: what this node knows.
    :param service: the service.
    :param is_hop: whether another node sent the request here; it runs here or not at all.
    :param tried: nodes that the request or its hedge was sent to.
    """
    if is_hop:
        own_member = view.members.get(view.node)
        if own_member is not None and own_member.service == service and _is_usable(own_member):
            return Route(choice=Choice.LOCAL)
        return Route(choice=Choice.REFUSE, reason=outcome.Reason.NO_TARGET)
    usable = [
        member
        for member in view.members.values()
        if member.service == service and _is_usable(member) and member.node not in tried
    ]
    if not usable:
        return Route(choice=Choice.REFUSE, reason=outcome.Reason.NO_TARGET)
    loads = {member.node: view.find_load(member.node) for member in usable}
    bypassed = [member for member in usable if loads[member.node].is_bypassed]
    if bypassed and view.draw(straggler.PROBE_ONE_IN * len(usable)) < len(bypassed):
        chosen = bypassed[view.draw(len(bypassed))]
    else:
        chosen = _choose_fastest(view, [m for m in usable if m not in bypassed] or usable, loads)
    if chosen.node == view.node:
        return Route(choice=Choice.LOCAL)
    return Route(choice=Choice.HOP, node=chosen.node)


def _is_usable(member: message.Member) -> bool:
    return member.is_target_up and not member.is_leaving


def _choose_fastest(
    view: View, members: list[message.Member], loads: dict[identity.NodeId, TargetLoad]
) -> message.Member:
    """Draw candidates, and return the one with the lowest expected latency."""
    latencies = [load.latency_s for load in loads.values() if load.latency_s is not None]
    fallback_s = min(latencies, default=0.001)

    def predict_latency(member: message.Member) -> float:
        load = loads[member.node]
        latency_s = fallback_s if load.latency_s is None else load.latency_s
        factor = ZONE_FACTOR if member.zone != view.zone else 1.0
        return latency_s * (load.in_flight + 1) * (COLD_FACTOR if member.is_cold else 1.0) * factor

    same_zone = [member for member in members if member.zone == view.zone]
    other_zones = [member for member in members if member.zone != view.zone]
    drawn = _draw_candidates(view, same_zone) + _draw_candidates(view, other_zones)
    return min(drawn, key=predict_latency)


def _draw_candidates(view: View, members: list[message.Member]) -> list[message.Member]:
    """Return up to ``CANDIDATES`` members, drawn at random."""
    remaining = list(members)
    return [
        remaining.pop(view.draw(len(remaining))) for _ in range(min(CANDIDATES, len(remaining)))
    ]
