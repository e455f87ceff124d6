"""Settings of the daemon: reading and checking them."""

import ipaddress
import pathlib

import msgspec

from ebonyvalve import errors
from ebonyvalve.process import decision, identity


class Tls(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Files for mutual TLS between nodes and with operators, in PEM form."""

    certificate: str
    key: str
    authority: str


class Settings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon. Addresses are ``IP:port``."""

    node: identity.NodeId
    zone: identity.ZoneId
    service: identity.ServiceId
    caller_address: identity.Address
    hop_address: identity.Address
    peer_address: identity.Address
    operator_address: identity.Address
    # The local target sends its announcements here.
    announce_address: identity.Address
    # Address of the platform's table service and object store.
    platform_address: identity.Address
    cell: identity.CellId = identity.CellId("main")
    slots: int = 10
    connections: int = 130
    caller_connections: int = 1000
    log_form: decision.LogForm = decision.LogForm.KEY_VALUE
    log_level: str = "info"
    # Share of answered requests that is logged, 0 to 1.
    log_answered_share: float = 1.0
    tls: Tls | None = None
    # Without TLS, addresses other than loopback are refused unless this is true.
    allow_plaintext: bool = False


ADDRESS_FIELDS = [
    "caller_address",
    "hop_address",
    "peer_address",
    "operator_address",
    "announce_address",
    "platform_address",
]
# Addresses that must be loopback or use TLS, unless plaintext is allowed. The caller address is not
# among them, since callers have no client certificates.
PRIVATE_FIELDS = ["hop_address", "peer_address", "operator_address", "announce_address"]
LEVELS = ("debug", "info", "warning", "error")


def load(path: pathlib.Path) -> Settings:
    """Read and check the settings.

    :param path: a JSON file.
    :raises errors.SettingsError: if the settings are invalid; it names file, field and cause.
    """
    try:
        body = path.read_bytes()
    except OSError as exc:
        raise errors.SettingsError(f"{path}: {exc.strerror}") from exc
    try:
        settings = msgspec.json.decode(body, type=Settings)
    except msgspec.MsgspecError as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    faults = check(settings)
    if faults:
        raise errors.SettingsError("\n".join(f"{path}: {fault}" for fault in faults))
    return settings


def check(settings: Settings) -> list[str]:
    """Return all faults of the settings, each with the field and the cause.

    :param settings: decoded settings.
    """
    faults = [
        f"{field}: must not be empty"
        for field in ("node", "zone", "service", "cell")
        if not getattr(settings, field)
    ]
    for field in ADDRESS_FIELDS:
        faults += _check_address(field, getattr(settings, field), settings)
    for field in ("slots", "connections", "caller_connections"):
        if getattr(settings, field) < 1:
            faults.append(f"{field}: must be at least 1, is {getattr(settings, field)}")
    if not 0 <= settings.log_answered_share <= 1:
        faults.append(f"log_answered_share: must be 0 to 1, is {settings.log_answered_share}")
    if settings.log_level not in LEVELS:
        faults.append(f"log_level: must be one of {', '.join(LEVELS)}, is {settings.log_level!r}")
    return faults


def _check_address(field: str, address: identity.Address, settings: Settings) -> list[str]:
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return [f"{field}: {address!r} is not IP:port"]
    if not port.isdigit() or not 0 <= int(port) <= 65535:
        return [f"{field}: port {port!r} is not 0 to 65535"]
    is_open = field in PRIVATE_FIELDS and not ip.is_loopback
    # Announcements are never encrypted, since the target is on the same VM.
    is_secured = settings.tls is not None and field != "announce_address"
    if is_open and not is_secured and not settings.allow_plaintext:
        return [
            f"{field}: {address} is not a loopback address and its traffic is not encrypted; use "
            "loopback, set tls, or set allow_plaintext to true"
        ]
    return []
