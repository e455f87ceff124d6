"""Decodes the platform's settings file (TOML) into the product's place."""

import msgspec

from ebonyvalve import errors
from ebonyvalve.process import identity, place


class Listen(msgspec.Struct, kw_only=True):
    """Addresses of a node: ``outbound`` for callers on its VM, ``inbound`` for other nodes."""

    outbound: str
    inbound: str
    ready: str
    control: str


class Platform(msgspec.Struct, kw_only=True):
    """The metadata store."""

    address: str


class Document(msgspec.Struct, kw_only=True):
    """The settings that are used. ``backend`` is the service of the target on this VM."""

    node: str
    zone: str
    backend: str
    app_addr: str
    listen: Listen
    platform: Platform
    heartbeat_s: float = 1.0
    bounds: list[str] = []


def decode(body: bytes) -> place.Place:
    """Return the place that a settings file describes.

    :param body: the file's content.
    :raises errors.SettingsError: naming the field that is missing or wrong.
    """
    # tomllib is needed once at start; nothing else of the daemon uses it.
    import tomllib

    try:
        wire = msgspec.convert(tomllib.loads(body.decode()), Document, strict=False)
        bounds = _decode_bounds(wire.bounds)
    except (ValueError, msgspec.ValidationError) as exc:
        raise errors.SettingsError(f"settings: {exc}") from exc
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
        most_hold_s=bounds.get("max_hold_s", 10.0),
        drain_s=bounds.get("drain_s", 2.0),
        grace_s=bounds.get("grace_s", 6.0),
        retries=place.RetryAllowance(
            ratio=bounds.get("retry_ratio", 0.2),
            window_s=bounds.get("retry_window_s", 10.0),
            slack=bounds.get("retry_slack", 60.0),
        ),
    )


def _decode_bounds(entries: list[str]) -> dict[str, float]:
    bounds = {}
    for entry in entries:
        name, _, value = entry.partition("=")
        try:
            bounds[name.strip()] = float(value)
        except ValueError:
            # Bounds may also be true or false; none of those is used here.
            continue
    return bounds
