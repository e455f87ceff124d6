"""What one node believes at one moment, for operators who ask it."""

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger


class Peer(msgspec.Struct, kw_only=True, frozen=True):
    """A target as the node knows it.

    ``offered`` is the work that arrives for it over the work it can do, ``load_age_s`` how old that
    is in seconds; it is ``None`` if no answer has told it. ``avoided_s`` is for how much longer
    requests pass it by.
    """

    member: member.Member
    offered: float = 0.0
    load_age_s: float | None = None
    avoided_s: float = 0.0


class Survey(msgspec.Struct, kw_only=True, frozen=True):
    """A node's beliefs. ``versions`` are those of the rows of ``ledgers``.

    ``refused`` holds the reasons against the newest configuration that was not applied.
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


def take(node: node_module.Node) -> Survey:
    """Return what a node believes now.

    :param node: the node.
    """
    return Survey(
        node=node.place.node,
        zone=node.place.zone,
        service=node.place.service,
        config=node.config,
        refused=node.refusal_reasons,
        evacuated=tuple(sorted(node.evacuated)),
        keyed=tuple(sorted(name for name, known in node.policies.items() if known.is_keyed)),
        peers=tuple(describe(node, node.members[name]) for name in sorted(node.members)),
        ledgers={name: book.ledger for name, book in node.ledgers.items()},
        versions={name: book.version for name, book in node.ledgers.items()},
        gauges=node_module.list_gauges(node),
    )


def describe(node: node_module.Node, known: member.Member) -> Peer:
    """Return what a node knows of a target.

    :param node: the node.
    :param known: the target, as its node announces it.
    """
    if known.node == node.place.node:
        return Peer(member=known, offered=node_module.measure_load(node).offered, load_age_s=0.0)
    now = node.now()
    view = node_module.read_view(node, known.node)
    age_s = now - view.reported_at
    return Peer(
        member=known,
        offered=view.offered,
        load_age_s=None if age_s == float("inf") else age_s,
        avoided_s=max(0.0, view.avoid_until - now),
    )


def is_open(survey: Survey, peer: Peer) -> bool:
    """Return whether a target takes new work.

    :param survey: what a node believes.
    :param peer: the target.
    """
    known = peer.member
    return known.state is member.TargetState.READY and known.zone not in survey.evacuated


def format_load(peer: Peer) -> str:
    """Return a target's load and how old that is, in words.

    :param peer: the target.
    """
    if peer.load_age_s is None:
        return "load not told yet"
    return f"load {peer.offered:.2f} told {peer.load_age_s:.1f} s ago"


def encode(survey: Survey) -> bytes:
    """Return a survey as bytes.

    :param survey: the survey.
    """
    return msgspec.json.encode(survey)


def decode(body: bytes) -> result.Result[Survey, str]:
    """Return the survey that a node has sent, or what is wrong with it.

    :param body: the bytes.
    """
    return decoding.decode(body, Survey)
