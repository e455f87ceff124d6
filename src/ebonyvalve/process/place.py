"""The settings of a node: its identity, its addresses and its limits."""

import dataclasses

from ebonyvalve.process import identity
from ebonyvalve.process.quota import limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryAllowance:
    """How many retries all nodes together may send for one service.

    In any period of ``window_s`` seconds, that is ``ratio`` times the requests plus ``slack``.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """The node, its addresses and its limits. Times are in seconds.

    Callers on this VM send requests to ``callers_address``, other nodes send theirs to
    ``peers_address``, and the target sends its status reports to ``reports_address``.
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
    quotas: limits.Bounds = dataclasses.field(default_factory=limits.Bounds)
    # Bytes per second that the VM's link carries; 0 if unknown.
    link_rate: float = 0.0
    # Bytes of memory of the VM; 0 if unknown.
    memory_bytes: float = 0.0
