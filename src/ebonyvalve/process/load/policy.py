"""What the targets of a service bear, as the accepted configuration says."""

import dataclasses

from ebonyvalve.process import identity


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServicePolicy:
    """What the targets of a service bear.

    A target bears ``cold_rate`` requests a second for ``cold_s`` seconds after its start. Keys
    that arrive without a handover are slow for ``warm_up_s`` seconds.
    """

    name: identity.ServiceId
    is_keyed: bool
    max_connections: int
    cold_s: float
    cold_rate: float
    warm_up_s: float
    health_path: str
