"""A snapshot of one node's state, for operators and tools that query it."""

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger

# Bounds the size of a survey.
MAX_SKIPPED = 50


class Peer(msgspec.Struct, kw_only=True, frozen=True):
    """A target as the node knows it.

    ``offered`` is the work that arrives for it divided by the work it can do, and ``load_age_s``
    the age of that figure in seconds, ``None`` if no answer has carried it yet. ``avoided_s`` is
    for how many more seconds requests avoid the target.
    """

    member: member.Member
    offered: float = 0.0
    load_age_s: float | None = None
    avoided_s: float = 0.0


class Survey(msgspec.Struct, kw_only=True, frozen=True):
    """The state of a node at one moment.

    ``versions`` are the row versions of ``ledgers``. ``refused`` holds the reasons why the newest
    configuration was refused; it is empty if that was applied. ``skipped`` holds the reasons why
    entries of the configuration in force were skipped.
    """

    node: identity.NodeId
    zone: identity.ZoneId
    service: identity.ServiceId
    config: int | None
    refused: tuple[str, ...]
    evacuated: tuple[identity.ZoneId, ...]
    keyed: tuple[identity.ServiceId, ...]
    peers: tuple[Peer, ...]
    ledgers: dict[str, ledger.Ledger]
    versions: dict[str, int]
    gauges: dict[str, float]
    skipped: tuple[str, ...] = ()


def take(node: node_module.Node) -> Survey:
    """Return the current state of a node.

    :param node: the node.
    """
    return Survey(
        node=node.place.node,
        zone=node.place.zone,
        service=node.place.service,
        config=node.config,
        refused=node.refusal_reasons,
        evacuated=tuple(sorted(node.evacuated)),
        keyed=tuple(sorted(name for name, policy in node.policies.items() if policy.is_keyed)),
        peers=tuple(describe(node, node.members[name]) for name in sorted(node.members)),
        ledgers={name: versioned.ledger for name, versioned in node.ledgers.items()},
        versions={name: versioned.version for name, versioned in node.ledgers.items()},
        gauges=node_module.list_gauges(node),
        skipped=node.skipped_entries[:MAX_SKIPPED],
    )


def describe(node: node_module.Node, announced: member.Member) -> Peer:
    """Return what a node knows of a target.

    :param node: the node.
    :param announced: the target, as its node announces it.
    """
    if announced.node == node.place.node:
        return Peer(
            member=announced, offered=node_module.measure_load(node).offered, load_age_s=0.0
        )
    now = node.now()
    view = node_module.read_view(node, announced.node)
    age_s = now - view.reported_at
    return Peer(
        member=announced,
        offered=view.offered,
        load_age_s=None if age_s == float("inf") else age_s,
        avoided_s=max(0.0, view.avoid_until - now),
    )


def is_open(survey: Survey, peer: Peer) -> bool:
    """Return whether a target takes new work.

    :param survey: the state of a node.
    :param peer: the target.
    """
    announced = peer.member
    return announced.state is member.TargetState.READY and announced.zone not in survey.evacuated


def format_load(peer: Peer) -> str:
    """Return a target's load and its age as text.

    :param peer: the target.
    """
    if peer.load_age_s is None:
        return "load not told yet"
    return f"load {peer.offered:.2f} told {peer.load_age_s:.1f} s ago"


def encode(survey: Survey) -> bytes:
    """Return a survey as JSON.

    :param survey: the survey.
    """
    return msgspec.json.encode(survey)


def decode(body: bytes) -> result.Result[Survey, str]:
    """Return the survey that a node has sent, or why it can't be read.

    :param body: the JSON.
    """
    return decoding.decode(body, Survey)
