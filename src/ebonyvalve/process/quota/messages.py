"""The messages of quotas between nodes, as JSON; unknown fields are ignored."""

import msgspec

from ebonyvalve.process import decoding, identity
from ebonyvalve.process.quota import lender, state


class AskMessage(msgspec.Struct, kw_only=True, frozen=True):
    """A request for allowance, with the newest operator row that the sender has applied."""

    ask: lender.Ask
    seen: decoding.Count = 0


class GrantMessage(msgspec.Struct, kw_only=True, frozen=True):
    """The answer to it."""

    grant: lender.Grant
    seen: decoding.Count = 0


class ClaimMessage(msgspec.Struct, kw_only=True, frozen=True):
    """The lenders that the sender knows, to be confirmed."""

    lenders: state.Claims


class Confirmed(msgspec.Struct, kw_only=True, frozen=True):
    """The confirmation of an account's lenders; see :class:`roles.Confirmation`."""

    steady_s: decoding.Seconds
    held_s: decoding.Seconds
    is_young: bool


class ConfirmMessage(msgspec.Struct, kw_only=True, frozen=True):
    """The accounts for which the node knows the same lenders, and how old it knows the mesh is."""

    confirmed: dict[identity.AccountId, Confirmed]
    mesh_age_s: decoding.Seconds | None = None
