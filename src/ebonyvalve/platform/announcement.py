"""Decodes the status reports of targets and encodes the answers to them."""

import dataclasses
import typing

import msgspec

from ebonyvalve.process import identity, member
from ebonyvalve.process.keyspace import grant

PATH = "/instances/"
STATES = {"ready": member.TargetState.READY, "draining": member.TargetState.LEAVING}


class Info(msgspec.Struct, kw_only=True):
    """What a target is. ``backend`` is its service."""

    backend: str
    slots: int
    zone: str = ""


class Status(msgspec.Struct, kw_only=True):
    """How a target does. ``seq`` increases with each report of one lifetime."""

    state: str
    seq: int
    cold_left_s: float = 0.0


class Document(msgspec.Struct, kw_only=True):
    """A status report. ``born`` is the Unix millisecond of the target's start."""

    address: str
    info: Info
    status: Status
    born: int = 0
    holds: list[tuple[int, int, int]] = []
    released: list[tuple[int, int, str]] = []


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
    try:
        wire = msgspec.json.decode(body, type=Document)
    except msgspec.DecodeError as exc:
        return f'report of "{name}": {exc}'
    if wire.status.state not in STATES:
        return f'report of "{name}": state "{wire.status.state}" is unknown'
    return Announcement(
        report=grant.Report(
            lifetime=name_lifetime(name, wire.born),
            sequence=wire.status.seq,
            holds=tuple(wire.holds),
            released=tuple(wire.released),
        ),
        service=identity.ServiceId(wire.info.backend),
        address=identity.Address(wire.address),
        born_ms=wire.born,
        slots=max(1, wire.info.slots),
        state=STATES[wire.status.state],
        cold_left_s=wire.status.cold_left_s,
    )


def name_lifetime(name: str, born_ms: int) -> identity.Lifetime:
    """Return the name of one lifetime of a target.

    :param name: the target's id.
    :param born_ms: the Unix millisecond of its start.
    """
    return identity.Lifetime(f"{name}@{born_ms}")


def read_target(lifetime: identity.Lifetime) -> str:
    """Return the target's id.

    :param lifetime: made by :func:`name_lifetime`.
    """
    return lifetime.rpartition("@")[0]


def encode(given: grant.Grant | None) -> bytes:
    """Return the answer to a report.

    :param given: what the target is to hold, or ``None`` for a service without keys.
    """
    if given is None or given.spans is None:
        return b"{}"
    rows: list[typing.Any] = [
        [span.first, span.last, span.fence, span.handover] for span in given.spans
    ]
    return msgspec.json.encode({"holds": rows, "hold_s": round(given.hold_s, 3)})
