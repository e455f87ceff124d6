"""The JSON bodies of ``/status`` and ``/explain/{service}/{key}``, and their rendering as text."""

import enum

import msgspec

from ebonyvalve.process import identity


class Role(enum.Enum):
    """The role of a node in its cell."""

    COORDINATOR = "coordinator"
    STANDBY = "standby"
    MEMBER = "member"


class LeaseState(enum.Enum):
    """Whether a node may admit requests for its shards."""

    HELD = "held"
    LAPSED = "lapsed"
    NEVER = "never"


class RouteKind(enum.Enum):
    """How the reporting node would route a request now."""

    LOCAL = "local"
    HOP = "hop"
    WAIT = "wait"
    REFUSE = "refuse"


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """A target as the reporting node sees it."""

    node: identity.NodeId
    zone: identity.ZoneId
    service: identity.ServiceId
    slots: int
    is_up: bool
    is_cold: bool = False
    is_leaving: bool = False
    is_straggler: bool = False
    # The concurrency limit; only the target's own node knows it.
    limit: float | None = None
    # Requests that the reporting node has in flight at the target, and their mean latency.
    in_flight: int | None = None
    latency_ms: float | None = None
    # The version in force at the target's node, from its last heartbeat; only the coordinator knows
    # it.
    config_version: identity.ConfigVersion | None = None


class Zone(msgspec.Struct, kw_only=True, frozen=True):
    """An availability zone with the totals of its targets."""

    name: identity.ZoneId
    targets: int
    targets_up: int
    slots: int
    is_drained: bool = False


class Shard(msgspec.Struct, kw_only=True, frozen=True):
    """A shard and its owner, which is empty while nobody owns the shard."""

    shard: identity.ShardId
    owner: identity.NodeId
    fence: identity.Fence


class Drain(msgspec.Struct, kw_only=True, frozen=True):
    """A drain order in force and its progress."""

    name: str
    reason: str
    zone: identity.ZoneId | None = None
    nodes: list[identity.NodeId] = []
    shards_left: int = 0


class Status(msgspec.Struct, kw_only=True, frozen=True):
    """The body of ``/status``: the state of a node and its view of the cell.

    ``lease_left_ms`` is 0 unless the lease is held. ``shards``, ``targets`` and ``zones`` cover the
    whole cell as far as the node knows it.
    """

    node: identity.NodeId
    zone: identity.ZoneId
    incarnation: identity.Incarnation
    role: Role
    coordinator: identity.NodeId
    term: identity.Term
    lease: LeaseState
    lease_left_ms: int
    config_version: identity.ConfigVersion
    does_store_answer: bool
    targets: list[Target] = []
    zones: list[Zone] = []
    shards: list[Shard] = []
    drains: list[Drain] = []


class Explanation(msgspec.Struct, kw_only=True, frozen=True):
    """The body of ``/explain/{service}/{key}``.

    ``rules`` names the assignment rules that restrict the owner. ``owned_for_s`` and ``cause`` say
    for how long and why the owner has held the shard, if the reporting node knows. ``refusals``
    lists the kinds of requests that would be refused now, with the reason.
    """

    node: identity.NodeId
    service: identity.ServiceId
    key: identity.KeyId
    config_version: identity.ConfigVersion
    shard: identity.ShardId | None = None
    owner: identity.NodeId | None = None
    owner_zone: identity.ZoneId | None = None
    fence: identity.Fence | None = None
    rules: list[str] = []
    owned_for_s: float | None = None
    cause: str = ""
    route: RouteKind
    route_node: identity.NodeId | None = None
    refusals: list[str] = []


class NodeVersion(msgspec.Struct, kw_only=True, frozen=True):
    """The configuration version in force at a node; ``None`` if the node did not answer."""

    node: identity.NodeId
    version: identity.ConfigVersion | None
    cause: str = ""


def render_status(status: Status) -> list[str]:
    """Return the state of a node itself as lines of text.

    :param status: the status.
    """
    lease = status.lease.value
    if status.lease is LeaseState.HELD:
        lease = f"held for {status.lease_left_ms} ms"
    store = "answers" if status.does_store_answer else "does not answer"
    return [
        f"node {status.node} ({status.zone}): {status.role.value}, term {status.term}, lease "
        f"{lease}, configuration {status.config_version}, store {store}"
    ]


def render_cell(status: Status) -> list[str]:
    """Return the zones, targets, owners and drains that a node sees as lines of text.

    :param status: the status.
    """
    lines = []
    for zone in status.zones:
        drained = ", drained" if zone.is_drained else ""
        lines.append(
            f"zone {zone.name}: {zone.targets_up} of {zone.targets} targets up, "
            f"{zone.slots} slots{drained}"
        )
    for target in status.targets:
        owned = sum(shard.owner == target.node for shard in status.shards)
        lines.append(
            f"target {target.node} ({target.service}): {_describe_target(target)}, owns {owned}"
        )
    ownerless = sorted(shard.shard for shard in status.shards if not shard.owner)
    if ownerless:
        lines.append(f"{len(ownerless)} shards without an owner: {', '.join(ownerless[:10])}")
    for drain in status.drains:
        places = ", ".join([*([drain.zone] if drain.zone else []), *drain.nodes])
        lines.append(
            f"drain {drain.name} ({places}): {drain.shards_left} shards left; {drain.reason}"
        )
    return lines


def render_explanation(explanation: Explanation) -> list[str]:
    """Return an explanation as lines of text.

    :param explanation: the explanation.
    """
    lines = [f"key {explanation.key} of {explanation.service}, as node {explanation.node} sees it"]
    if explanation.shard is not None:
        owner = (
            f"{explanation.owner} in {explanation.owner_zone}" if explanation.owner else "nobody"
        )
        fence = f", fencing token {explanation.fence}" if explanation.fence is not None else ""
        lines.append(f"shard {explanation.shard} is owned by {owner}{fence}")
        since = (
            f"for {explanation.owned_for_s:.0f} s"
            if explanation.owned_for_s is not None
            else "time unknown"
        )
        lines.append(f"since: {since}; cause: {explanation.cause or 'not known here'}")
    lines.append(f"rules: {', '.join(explanation.rules) or 'none'}")
    where = f" to {explanation.route_node}" if explanation.route_node else ""
    lines.append(f"a request now: {explanation.route.value}{where}")
    return lines + [f"refused now: {reason}" for reason in explanation.refusals]


def _describe_target(target: Target) -> str:
    words = ["up" if target.is_up else "down"]
    words += ["cold"] if target.is_cold else []
    words += ["leaving"] if target.is_leaving else []
    words += ["straggler"] if target.is_straggler else []
    if target.limit is not None:
        words.append(f"limit {target.limit:g} of {target.slots} slots")
    return " ".join(words)
