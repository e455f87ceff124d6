"""Settings of nodes for tests that need no file."""

from ebonyvalve.process import identity, place


def build_place(
    node: str, service: str, address: str, *, heartbeat_s: float, store: str
) -> place.Place:
    """Return the settings of a node whose addresses are all the same.

    :param node: its name.
    :param service: the service of its target.
    :param address: where it and its target listen.
    :param heartbeat_s: seconds between two reports of the target.
    :param store: where the store is.
    """
    here = identity.Address(address)
    return place.Place(
        node=identity.NodeId(node),
        zone=identity.ZoneId("z1"),
        service=identity.ServiceId(service),
        target_address=here,
        callers_address=here,
        peers_address=here,
        ready_address=here,
        reports_address=here,
        store_address=identity.Address(store),
        heartbeat_s=heartbeat_s,
        max_hold_s=10.0,
        drain_s=2.0,
        grace_s=6.0,
        retries=place.RetryAllowance(),
    )
