"""Decodes the platform's settings file (TOML) into a :class:`ebonyvalve.process.place.Place`.

The field names of the structs are the platform's.
"""

import typing

import msgspec
from returns import result

from ebonyvalve import errors
from ebonyvalve.process import decoding, identity, place
from ebonyvalve.process.quota import limits

MAX_BOUND = 1e6
BOOLEANS = ("true", "false")
USED_BOUNDS = (
    "max_hold_s",
    "drain_s",
    "grace_s",
    "retry_ratio",
    "retry_window_s",
    "retry_slack",
    "quota_window_s",
    "quota_excess",
    "quota_slack",
)
BYTES_PER_MBIT = 125_000
BYTES_PER_MB = 1_000_000
Heartbeat = typing.Annotated[float, msgspec.Meta(gt=0, le=3600)]
Megabytes = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Mbps = typing.Annotated[float, msgspec.Meta(ge=0, le=1e7)]


class Listen(msgspec.Struct, kw_only=True):
    """Addresses that a node listens on.

    ``outbound`` is for callers on its VM, ``inbound`` for other nodes, ``ready`` for health checks
    and operators, and ``control`` for the status reports of the target.
    """

    outbound: str
    inbound: str
    ready: str
    control: str


class Platform(msgspec.Struct, kw_only=True):
    """The metadata store."""

    address: str


class Limits(msgspec.Struct, kw_only=True):
    """Limits of the VM: its bandwidth in Mbit/s and its memory in MB, 0 if unknown."""

    link_mbps: Mbps = 0.0
    memory_mb: Megabytes = 0.0


class Document(msgspec.Struct, kw_only=True):
    """The settings that are used; unknown ones are ignored.

    ``backend`` is the service of the target on this VM, ``app_addr`` the target's address, and
    ``bounds`` are entries of the form ``name=value``.
    """

    node: str
    zone: str
    backend: str
    app_addr: str
    listen: Listen
    platform: Platform
    limits: Limits = msgspec.field(default_factory=Limits)
    heartbeat_s: Heartbeat = 1.0
    bounds: list[str] = []


def decode(body: bytes) -> place.Place:
    """Decode a settings file.

    :param body: the file's content.
    :raises errors.SettingsError: if a field is missing or invalid; the message names it.
    """
    decoded = read(body)
    if not isinstance(decoded, result.Success):
        raise errors.SettingsError(f"settings: {decoded.failure()}")
    wire, bounds = decoded.unwrap()
    return place.Place(
        node=identity.NodeId(wire.node),
        zone=identity.ZoneId(wire.zone),
        service=identity.ServiceId(wire.backend),
        target_address=identity.Address(wire.app_addr),
        callers_address=identity.Address(wire.listen.outbound),
        peers_address=identity.Address(wire.listen.inbound),
        ready_address=identity.Address(wire.listen.ready),
        reports_address=identity.Address(wire.listen.control),
        store_address=identity.Address(wire.platform.address),
        heartbeat_s=wire.heartbeat_s,
        max_hold_s=bounds.get("max_hold_s", 10.0),
        drain_s=bounds.get("drain_s", 2.0),
        grace_s=bounds.get("grace_s", 6.0),
        retries=place.RetryAllowance(
            ratio=bounds.get("retry_ratio", 0.2),
            window_s=bounds.get("retry_window_s", 10.0),
            slack=bounds.get("retry_slack", 60.0),
        ),
        quotas=limits.Bounds(
            window_s=bounds.get("quota_window_s", 5.0),
            excess=bounds.get("quota_excess", 0.1),
            slack=bounds.get("quota_slack", 20.0),
        ),
        link_rate=wire.limits.link_mbps * BYTES_PER_MBIT,
        memory_bytes=wire.limits.memory_mb * BYTES_PER_MB,
    )


def read(body: bytes) -> result.Result[tuple[Document, dict[str, float]], str]:
    """Return the settings and their bounds by name, or why they are invalid.

    :param body: the file's content.
    """
    # Only the settings need tomllib, once at start, so that it isn't imported with the module.
    import tomllib

    try:
        tree = tomllib.loads(body.decode())
    except decoding.DECODE_ERRORS as exc:
        return result.Failure(decoding.describe_error(exc))
    converted = decoding.convert(tree, Document)
    if not isinstance(converted, result.Success):
        return result.Failure(converted.failure())
    wire = converted.unwrap()
    bounds = {}
    for entry in wire.bounds:
        name, _, value = (part.strip() for part in entry.partition("="))
        # Bounds may also be true or false; the daemon uses none of those.
        if value not in BOOLEANS:
            bounds[name] = decoding.read_number(value, max_value=MAX_BOUND)
    fault = find_fault(wire, bounds)
    if fault:
        return result.Failure(fault)
    return result.Success((wire, {name: value or 0.0 for name, value in bounds.items()}))


def find_fault(wire: Document, bounds: dict[str, float | None]) -> str:
    """Return which setting is invalid, or an empty string.

    :param wire: the settings.
    :param bounds: the bounds by name; ``None`` for those that aren't valid numbers.
    """
    for name in ("node", "zone", "backend"):
        if not decoding.is_name(getattr(wire, name)):
            return f"{name}: {getattr(wire, name)!r} is not a valid name"
    addresses = {
        "app_addr": wire.app_addr,
        "listen.outbound": wire.listen.outbound,
        "listen.inbound": wire.listen.inbound,
        "listen.ready": wire.listen.ready,
        "listen.control": wire.listen.control,
        "platform.address": wire.platform.address,
    }
    for name, address in addresses.items():
        if not decoding.is_address(address):
            return f"{name}: {address!r} is not host:port"
    for name in USED_BOUNDS:
        if name in bounds and bounds[name] is None:
            return f"bounds: {name} is not a number from 0 to {MAX_BOUND:g}"
    return ""
