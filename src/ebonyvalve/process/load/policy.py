"""The policy of a service, from the configuration in force."""

import dataclasses

from ebonyvalve.process import identity


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServicePolicy:
    """The limits of a service's targets.

    For ``cold_s`` seconds after its start, a target can handle ``cold_rate`` requests per second.
    Keys that arrive without a handover are slow for ``warm_up_s`` seconds.
    """

    name: identity.ServiceId
    is_keyed: bool
    max_connections: int
    cold_s: float
    cold_rate: float
    warm_up_s: float
    health_path: str
