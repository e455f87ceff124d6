"""Control messages between nodes, sent as requests and replies on one stream per pair of nodes."""

import msgspec

from ebonyvalve.process import identity


class Member(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """A node and its local target, as announced."""

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
    """The owner of a shard. An empty owner means that no node owns it at present."""

    shard: identity.ShardId
    owner: identity.NodeId
    fence: identity.Fence


class Holding(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """A shard with the fencing token under which a node holds it."""

    shard: identity.ShardId
    fence: identity.Fence
    # Keys of a partition that are shards of their own and are not served as part of it.
    excluded: list[identity.KeyId] = []


class UsedToken(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """A used one-time token, the outcome of its request and the seconds since its use."""

    token: str
    verdict: str
    status: int
    age_s: float


class Coverage(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """Which tokens of one epoch a token memory covers.

    ``clock_s`` is the time of the export on the clock of the node that issued the epoch's tokens,
    because clocks of different nodes have different origins. Tokens issued at or before
    ``horizon_s`` on that clock may have been forgotten; none was issued after ``closed_s``. A
    non-empty ``key`` restricts the coverage to one key. ``split_keys`` lists keys that were split
    off with the time of the split; their tokens issued until then are not covered.
    """

    clock_s: float
    horizon_s: float
    closed_s: float
    key: str = ""
    split_keys: list[tuple[str, float]] = []


class TokenMemory(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """The token memory of one shard, as transferred in a handover.

    ``epochs`` are the (shard, fencing token) pairs whose tokens the memory covers, and ``coverage``
    has one entry for each of them.
    """

    shard: identity.ShardId
    epochs: list[tuple[identity.ShardId, identity.Fence]]
    used: list[UsedToken]
    coverage: list[Coverage] = []


class Quarantined(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """The fingerprint of a request that was in flight when a target crashed.

    Requests with this fingerprint are refused for another ``remaining_s`` seconds.
    """

    fingerprint: identity.Fingerprint
    remaining_s: float


class ShardLoad(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """Load of one shard, in target seconds per second."""

    shard: identity.ShardId
    load: float


class Heartbeat(msgspec.Struct, kw_only=True, array_like=True, tag=1):
    """A node's request for a lease renewal.

    ``is_live`` tells whether the node considers its lease valid. If it reports an invalid lease
    again and again although it is renewed, it does not receive the renewals.
    """

    member: Member
    term: identity.Term
    routes_version: int
    members_version: int
    config_version: identity.ConfigVersion
    is_live: bool = False
    # Whether the node holds shards that it serves again only after they are confirmed.
    is_suspended: bool = False
    loads: list[ShardLoad] = []
    # Service, key and the key's share of its partition's load.
    hot_keys: list[tuple[identity.ServiceId, identity.KeyId, float]] = []
    new_quarantine: list[Quarantined] = []


class Renewal(msgspec.Struct, kw_only=True, array_like=True, tag=2):
    """A lease renewal with the changes since the versions named in the heartbeat."""

    term: identity.Term
    lease_s: float
    coordinator: identity.NodeId
    config_version: identity.ConfigVersion
    routes_version: int
    routes: list[Route]
    members_version: int
    members: list[Member]
    quarantine: list[Quarantined]
    # Digest of the shards that the node may serve; suspended holdings that match are served again.
    holdings_digest: int | None = None


class AskConsent(msgspec.Struct, kw_only=True, array_like=True, tag=3):
    """A coordinator's request that a standby doesn't claim the cell for the consent period."""

    term: identity.Term
    coordinator: identity.NodeId
    incarnation: identity.Incarnation


class Consent(msgspec.Struct, kw_only=True, array_like=True, tag=4):
    """A standby's promise not to claim the cell within the consent period."""

    term: identity.Term


class Follow(msgspec.Struct, kw_only=True, array_like=True, tag=5):
    """A new coordinator's request to follow its term and to report the held shards.

    ``address`` is where the coordinator takes control messages.

    ``sequence`` numbers a coordinator's ``Follow``, ``Revoke`` and ``Grant`` messages within its
    term; a node refuses one that arrives after a later one. ``incarnation`` in ``Revoke`` and
    ``Grant`` names the process that the message is meant for, because a restarted node has lost the
    shards of its previous process.
    """

    term: identity.Term
    coordinator: identity.NodeId
    address: identity.Address
    sequence: int


class Following(msgspec.Struct, kw_only=True, array_like=True, tag=6):
    """A node's confirmation that it follows the term, with the shards that it holds."""

    member: Member
    term: identity.Term
    holdings: list[Holding]
    config_version: identity.ConfigVersion


class Revoke(msgspec.Struct, kw_only=True, array_like=True, tag=7):
    """A coordinator's request that a node releases shards."""

    term: identity.Term
    shards: list[identity.ShardId]
    incarnation: identity.Incarnation
    sequence: int


class Released(msgspec.Struct, kw_only=True, array_like=True, tag=8):
    """A node's confirmation that it no longer serves shards, with their token memories."""

    term: identity.Term
    holdings: list[Holding]
    memories: list[TokenMemory]


class Grant(msgspec.Struct, kw_only=True, array_like=True, tag=9):
    """A coordinator's grant of shards to the owner that was committed for them."""

    term: identity.Term
    holdings: list[Holding]
    memories: list[TokenMemory]
    incarnation: identity.Incarnation
    sequence: int


class Granted(msgspec.Struct, kw_only=True, array_like=True, tag=10):
    """A node's confirmation that it has accepted a grant."""

    term: identity.Term


class Rerouted(msgspec.Struct, kw_only=True, array_like=True, tag=11):
    """New routes of shards, sent to their former owner ahead of its next renewal."""

    term: identity.Term
    routes: list[Route]


class Done(msgspec.Struct, kw_only=True, array_like=True, tag=12):
    """An acknowledgement without content."""


class FetchConfig(msgspec.Struct, kw_only=True, array_like=True, tag=13):
    """A request for the body of a configuration."""

    version: identity.ConfigVersion


class Config(msgspec.Struct, kw_only=True, array_like=True, tag=14):
    """The body of a configuration."""

    version: identity.ConfigVersion
    body: bytes


class Leave(msgspec.Struct, kw_only=True, array_like=True, tag=15):
    """A stopping node's request that the coordinator moves its shards to other nodes."""

    node: identity.NodeId
    incarnation: identity.Incarnation


class Refused(msgspec.Struct, kw_only=True, array_like=True, tag=16):
    """A reply that the request was refused, with the reason."""

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
