"""Where a process runs and what it may use, as its settings say."""

import dataclasses

from ebonyvalve.process import identity


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryAllowance:
    """Repeats that all nodes together may send: ``ratio`` of the requests, and ``slack``."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """The node, its addresses and the bounds it keeps to. Times are seconds.

    ``callers_address`` is where callers on this VM send requests, ``peers_address`` where other
    nodes do, ``reports_address`` where the target sends its status reports.
    """

    node: identity.NodeId
    zone: identity.ZoneId
    service: identity.ServiceId
    target_address: identity.Address
    callers_address: identity.Address
    peers_address: identity.Address
    ready_address: identity.Address
    reports_address: identity.Address
    store_address: identity.Address
    heartbeat_s: float
    max_hold_s: float
    drain_s: float
    grace_s: float
    retries: RetryAllowance
    # Bytes a second that the VM's link carries; 0 if that is not known.
    link_rate: float = 0.0
