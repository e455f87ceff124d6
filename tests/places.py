"""Builds settings of nodes for tests without a settings file."""

from ebonyvalve.process import identity, place


def build_place(
    node: str, service: str, address: str, *, heartbeat_s: float, store: str
) -> place.Place:
    """Return the settings of a node that uses one address for everything.

    :param node: the name of the node.
    :param service: the service of its target.
    :param address: the address of the node and its target.
    :param heartbeat_s: seconds between two reports of the target.
    :param store: the address of the store.
    """
    node_address = identity.Address(address)
    return place.Place(
        node=identity.NodeId(node),
        zone=identity.ZoneId("z1"),
        service=identity.ServiceId(service),
        target_address=node_address,
        callers_address=node_address,
        peers_address=node_address,
        ready_address=node_address,
        reports_address=node_address,
        store_address=identity.Address(store),
        heartbeat_s=heartbeat_s,
        max_hold_s=10.0,
        drain_s=2.0,
        grace_s=6.0,
        retries=place.RetryAllowance(),
    )
