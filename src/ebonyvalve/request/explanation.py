"""Explains to operators how a node would route a request at present, and why."""

import collections.abc

from ebonyvalve.process import budget, identity, member, survey
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.request import origin
from ebonyvalve.version import traffic


def explain(entry: origin.Origin, host: str, path: str, key_slot: int | None) -> list[str]:
    """Return the routing decisions for a request in order, one line each.

    :param entry: the state of the entry point.
    :param host: the request's host.
    :param path: its path.
    :param key_slot: the slot of its key, or ``None`` if it has no key.
    """
    config = entry.current.traffic
    if config is None:
        return ["no configuration has been read yet: 503"]
    route = traffic.find_route(config, host, path)
    if route is None:
        return [f"no route of configuration {config.version} has this host and path: 404"]
    lines = [
        f"route {route.name!r} of configuration {config.version}: prefix {route.prefix}, "
        f"{route.repeatability.value}, at most {route.attempts} targets, "
        f"time-out {route.timeout_s:g} s, priority {route.priority}"
    ]
    if config.requires_keys:
        lines.append(
            f"{len(config.accounts)} client accounts: "
            + (
                "the route is public, a key is optional"
                if route.is_public
                else "without a key: 401"
            )
        )
    for service, part in traffic.compute_fractions(route).items():
        lines.append(f"service {service}: {100 * part:.0f}% of the requests")
        if not config.services[service].is_keyed:
            lines.extend(_explain_choice(entry.node, service))
        elif key_slot is None:
            lines.append("  its requests need a key: 400")
        else:
            lines.extend(_explain_owner(entry.node, service, key_slot))
        repeats = budget.find_budget(entry.node.budget, service).level
        lines.append(f"  repeats that this node may make now: {int(repeats)}")
    return lines


def _explain_owner(
    node: node_module.Node, service: identity.ServiceId, key_slot: int
) -> collections.abc.Iterator[str]:
    versioned_ledger = node.ledgers.get(service)
    if versioned_ledger is None:
        yield "  its ledger is not known: 503"
        return
    span = ledger.find_span(versioned_ledger.ledger, key_slot)
    yield (
        f"  key {key_slot} is in {span.first} to {span.last} of ledger {versioned_ledger.version}, "
        f"fence {span.fence}"
    )
    if not span.holder:
        yield "  the range has no holder: 503"
        return
    yield f"  held by target {span.holder} beside {span.node}"
    if span.successor:
        yield f"  it is moving to target {span.successor} beside {span.successor_node}"
    target = node.members.get(identity.NodeId(span.node))
    if target is None:
        yield f"  {span.node} is not announced: 503 until its lease has ended"
    else:
        yield from _explain_target(node, target)


def _explain_choice(
    node: node_module.Node, service: identity.ServiceId
) -> collections.abc.Iterator[str]:
    targets = [target for target in node.members.values() if target.service == service]
    if not targets:
        yield "  no target is announced: 503"
    for target in sorted(targets, key=lambda target: target.node):
        yield from _explain_target(node, target)


def _explain_target(node: node_module.Node, target: member.Member) -> collections.abc.Iterator[str]:
    now = node.now()
    view = node_module.read_view(node, target.node)
    peer = survey.describe(node, target)
    line = f"  {target.node} in {target.zone}: target {target.lifetime} is {target.state.value}"
    if target.zone in node.evacuated:
        line += ", its zone is evacuated"
    if now < view.avoid_until:
        line += f", passed by for {view.avoid_until - now:.2f} s after {view.failures} failures"
    if now < view.ending_until:
        line += ", its process is about to end"
    if now < view.full_until:
        line += f", full for {view.full_until - now:.2f} s"
    if target.node == node.place.node:
        yield f"{line}, beside this node, load {peer.offered:.2f}"
    else:
        yield f"{line}, {survey.format_load(peer)}"
