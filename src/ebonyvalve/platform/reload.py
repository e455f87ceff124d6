"""Applies changed settings to a running daemon."""

import collections.abc
import dataclasses
import logging

import trio

from ebonyvalve import errors
from ebonyvalve.platform import settings, store
from ebonyvalve.process import budget, decision, signals
from ebonyvalve.process import node as node_module

log = logging.getLogger(__name__)

# The file may also change without a signal.
CHECK_INTERVAL_S = 5.0
# A running process can't become another node or listen on other addresses, so that changes of these
# settings take effect at its next start.
RESTART_FIELDS = (
    "node",
    "zone",
    "service",
    "target_address",
    "callers_address",
    "peers_address",
    "ready_address",
    "reports_address",
    "memory_bytes",
)


async def follow(
    node: node_module.Node,
    client: store.Client,
    received: signals.Signals,
    read: collections.abc.Callable[[], bytes],
) -> None:
    """Apply the settings whenever they change, until cancelled.

    :param node: the node.
    :param client: the client of the store, whose address may change.
    :param received: the signals by which the platform announces a changed file.
    :param read: returns the content of the settings file.
    """
    read_before: bytes | None = None
    while True:
        reload = received.reload
        try:
            body = read()
        except OSError as exc:
            decision.record(log, logging.ERROR, "settings-unreadable", cause=str(exc))
        else:
            if body != read_before:
                await apply(node, client, body)
            read_before = body
        with trio.move_on_after(CHECK_INTERVAL_S):
            await reload.wait()


async def apply(node: node_module.Node, client: store.Client, body: bytes) -> None:
    """Apply changed settings, or keep the current ones if the new ones are invalid.

    :param node: the node.
    :param client: the client of the store.
    :param body: the content of the settings file.
    """
    try:
        new = settings.decode(body)
    except errors.SettingsError as exc:
        decision.record(log, logging.ERROR, "settings-refused", cause=str(exc))
        return
    old = node.place
    if new == old:
        return
    deferred = [name for name in RESTART_FIELDS if getattr(new, name) != getattr(old, name)]
    if deferred:
        decision.record(
            log, logging.WARNING, "settings-wait-for-restart", fields=",".join(deferred)
        )
    node.place = dataclasses.replace(new, **{name: getattr(old, name) for name in RESTART_FIELDS})
    node.admission.uplink.rate = node.place.link_rate
    budget.set_share(node.budget, budget.compute_share(node.place.retries.ratio))
    budget.divide_burst(node.budget, node.place.retries.slack, len(node.members))
    if client.address != node.place.store_address:
        await store.redirect(client, node.place.store_address)
    decision.record(log, logging.INFO, "settings-applied", store=client.address)
