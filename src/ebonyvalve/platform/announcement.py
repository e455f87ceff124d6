"""Decodes the status reports of targets and encodes the answers to them."""

import dataclasses
import typing

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity, member
from ebonyvalve.process.keyspace import grant

PATH = "/instances/"
# A start after the year 5000 would hide every later lifetime.
MAX_BORN_MS = 10**14
MAX_COLD_S = 86_400.0
BornMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)]
ColdSeconds = typing.Annotated[float, msgspec.Meta(ge=-MAX_COLD_S, le=MAX_COLD_S)]
Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_SLOTS)]
# Goes into the service's ledger, whose row has a bounded size.
Handover = typing.Annotated[str, msgspec.Meta(max_length=decoding.MAX_NAME_BYTES)]
STATES = {"ready": member.TargetState.READY, "draining": member.TargetState.LEAVING}


class Info(msgspec.Struct, kw_only=True):
    """What a target is. ``backend`` is its service."""

    backend: str
    slots: Slots
    zone: str = ""


class Status(msgspec.Struct, kw_only=True):
    """How a target does. ``seq`` increases with each report of one lifetime."""

    state: str
    seq: decoding.Count
    cold_left_s: ColdSeconds = 0.0


class Document(msgspec.Struct, kw_only=True):
    """A status report. ``born`` is the Unix millisecond of the target's start."""

    address: str
    info: Info
    status: Status
    born: BornMs = 0
    holds: list[tuple[decoding.KeySlot, decoding.KeySlot, decoding.Count]] = []
    released: list[tuple[decoding.KeySlot, decoding.KeySlot, Handover]] = []


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """A decoded report. ``born_ms`` orders the lifetimes of targets at one address."""

    report: grant.Report
    service: identity.ServiceId
    address: identity.Address
    born_ms: int
    slots: int
    state: member.TargetState
    cold_left_s: float


def decode(name: str, body: bytes) -> Announcement | str:
    """Return a report, or what is wrong with it.

    :param name: the target's id, from the path.
    :param body: the report.
    """
    if not decoding.is_name(name):
        return f"report of {name[: decoding.MAX_CAUSE_CHARS]!r}: this is no name"
    decoded = decoding.decode(body, Document, find_fault)
    if not isinstance(decoded, result.Success):
        return f'report of "{name}": {decoded.failure()}'
    wire = decoded.unwrap()
    return Announcement(
        report=grant.Report(
            lifetime=build_lifetime(name, wire.born),
            sequence=wire.status.seq,
            holds=tuple(wire.holds),
            released=tuple(wire.released),
        ),
        service=identity.ServiceId(wire.info.backend),
        address=identity.Address(wire.address),
        born_ms=wire.born,
        slots=max(1, wire.info.slots),
        state=STATES[wire.status.state],
        cold_left_s=max(0.0, wire.status.cold_left_s),
    )


def find_fault(wire: Document) -> str:
    """Return what is wrong with the texts of a report, or an empty text.

    :param wire: the report.
    """
    if wire.status.state not in STATES:
        return f'state "{wire.status.state}" is unknown'
    if not decoding.is_address(wire.address):
        return f"address {wire.address!r} is not host:port"
    return ""


def build_lifetime(name: str, born_ms: int) -> identity.Lifetime:
    """Return the name of one lifetime of a target.

    :param name: the target's id.
    :param born_ms: the Unix millisecond of its start.
    """
    return identity.Lifetime(f"{name}@{born_ms}")


def read_target_id(lifetime: identity.Lifetime) -> str:
    """Return the target's id.

    :param lifetime: made by :func:`name_lifetime`.
    """
    return lifetime.rpartition("@")[0]


def encode(issued: grant.Grant | None) -> bytes:
    """Return the answer to a report.

    :param given: what the target is to hold, or ``None`` for a service without keys.
    """
    if issued is None or issued.spans is None:
        return b"{}"
    rows: list[typing.Any] = [
        [span.first, span.last, span.fence, span.handover] for span in issued.spans
    ]
    return msgspec.json.encode({"holds": rows, "hold_s": round(issued.hold_s, 3)})
