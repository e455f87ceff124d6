"""Control messages between nodes: requests and replies on one stream per pair of nodes."""

import msgspec

from ebonyvalve.process import identity


class Member(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """A node and the target beside it, as announced."""

    node: identity.NodeId
    incarnation: identity.Incarnation
    zone: identity.ZoneId
    service: identity.ServiceId
    peer_address: identity.Address
    hop_address: identity.Address
    slots: int
    is_target_up: bool = False
    is_cold: bool = False
    is_leaving: bool = False


class Route(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """The owner of a shard. An empty owner means that nobody owns it at present."""

    shard: identity.ShardId
    owner: identity.NodeId
    fence: identity.Fence


class Holding(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """A shard with the fencing token under which a node holds it."""

    shard: identity.ShardId
    fence: identity.Fence
    # Keys of a partition that are shards of their own and not served under it.
    excluded: list[identity.KeyId] = []


class UsedToken(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """A used one-time token and what became of its request."""

    token: str
    verdict: str
    status: int
    age_s: float


class Coverage(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """How far a token memory covers one epoch.

    ``clock_s`` is the clock of the node that issued the epoch's tokens, read at the export; clocks
    of different nodes share no origin. Tokens issued at or before ``horizon_s`` on that clock may
    have been forgotten; none was issued after ``closed_s``. A non-empty ``key`` restricts the
    coverage to one key. ``split_keys`` lists keys that were split off, with the time of the split:
    their tokens issued until then are not covered.
    """

    clock_s: float
    horizon_s: float
    closed_s: float
    key: str = ""
    split_keys: list[tuple[str, float]] = []


class TokenMemory(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """The token memory of one shard, as it travels with a handover.

    ``epochs`` are the (shard, fencing token) pairs whose tokens the memory covers, and ``coverage``
    has one entry for each of them.
    """

    shard: identity.ShardId
    epochs: list[tuple[identity.ShardId, identity.Fence]]
    used: list[UsedToken]
    coverage: list[Coverage] = []


class Quarantined(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """The fingerprint of a request during which a target died."""

    fingerprint: identity.Fingerprint
    remaining_s: float


class ShardLoad(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """Load of one shard: target seconds used per second."""

    shard: identity.ShardId
    load: float


class Heartbeat(msgspec.Struct, kw_only=True, array_like=True, tag=1):
    """A node's request for a lease renewal.

    ``is_live`` says whether the node's lease is valid as it counts. A node that keeps reporting
    that it is not, although it is renewed, does not receive the renewals.
    """

    member: Member
    term: identity.Term
    routes_version: int
    members_version: int
    config_version: identity.ConfigVersion
    is_live: bool = False
    # Whether the node holds shards that it serves again only once they are confirmed.
    is_suspended: bool = False
    loads: list[ShardLoad] = []
    hot_keys: list[tuple[identity.ServiceId, identity.KeyId, float]] = []
    new_quarantine: list[Quarantined] = []


class Renewal(msgspec.Struct, kw_only=True, array_like=True, tag=2):
    """A lease renewal with what changed since the versions that the heartbeat named."""

    term: identity.Term
    lease_s: float
    coordinator: identity.NodeId
    config_version: identity.ConfigVersion
    routes_version: int
    routes: list[Route]
    members_version: int
    members: list[Member]
    quarantine: list[Quarantined]
    # Digest of what the node may serve. Suspended holdings with this digest are served again.
    holdings_digest: int | None = None


class AskConsent(msgspec.Struct, kw_only=True, array_like=True, tag=3):
    """A coordinator's request that a standby does not claim the cell for a while."""

    term: identity.Term
    coordinator: identity.NodeId
    incarnation: identity.Incarnation


class Consent(msgspec.Struct, kw_only=True, array_like=True, tag=4):
    """The standby will not claim the cell within the consent period."""

    term: identity.Term


class Follow(msgspec.Struct, kw_only=True, array_like=True, tag=5):
    """A new coordinator's request to follow its term, and to list what the node holds.

    ``order`` numbers the orders of a coordinator within its term, here and in ``Revoke`` and
    ``Grant``; a node refuses an order that a later one overtook. ``to`` is the incarnation that an
    order is meant for: a restarted node has lost what its predecessor held.
    """

    term: identity.Term
    coordinator: identity.NodeId
    address: identity.Address
    sequence: int


class Following(msgspec.Struct, kw_only=True, array_like=True, tag=6):
    """A node follows the term; it lists what it holds."""

    member: Member
    term: identity.Term
    holdings: list[Holding]
    config_version: identity.ConfigVersion


class Revoke(msgspec.Struct, kw_only=True, array_like=True, tag=7):
    """The coordinator asks an owner to release shards."""

    term: identity.Term
    shards: list[identity.ShardId]
    incarnation: identity.Incarnation
    sequence: int


class Released(msgspec.Struct, kw_only=True, array_like=True, tag=8):
    """The owner serves these shards no more; its token memory goes with them."""

    term: identity.Term
    holdings: list[Holding]
    memories: list[TokenMemory]


class Grant(msgspec.Struct, kw_only=True, array_like=True, tag=9):
    """A committed assignment, given to its new owner."""

    term: identity.Term
    holdings: list[Holding]
    memories: list[TokenMemory]
    incarnation: identity.Incarnation
    sequence: int


class Granted(msgspec.Struct, kw_only=True, array_like=True, tag=10):
    """The new owner serves the shards."""

    term: identity.Term


class Rerouted(msgspec.Struct, kw_only=True, array_like=True, tag=11):
    """The coordinator tells a former owner where its shards went, ahead of the next renewal."""

    term: identity.Term
    routes: list[Route]


class Done(msgspec.Struct, kw_only=True, array_like=True, tag=12):
    """An acknowledgement with no content."""


class FetchConfig(msgspec.Struct, kw_only=True, array_like=True, tag=13):
    """A request for the body of a configuration."""

    version: identity.ConfigVersion


class Config(msgspec.Struct, kw_only=True, array_like=True, tag=14):
    """The body of a configuration."""

    version: identity.ConfigVersion
    body: bytes


class Leave(msgspec.Struct, kw_only=True, array_like=True, tag=15):
    """A node that stops asks the coordinator to move its shards first."""

    node: identity.NodeId
    incarnation: identity.Incarnation


class Refused(msgspec.Struct, kw_only=True, array_like=True, tag=16):
    """The request was not carried out."""

    term: identity.Term
    reason: str


Message = (
    Heartbeat
    | Renewal
    | AskConsent
    | Consent
    | Follow
    | Following
    | Revoke
    | Released
    | Grant
    | Granted
    | Rerouted
    | Done
    | FetchConfig
    | Config
    | Leave
    | Refused
)
