"""Findings: the refusals and warnings about objects that are shown to an operator."""

import collections.abc
import enum

import msgspec


class Severity(enum.Enum):
    """Whether a finding prevents publishing."""

    REFUSAL = "refusal"
    WARNING = "warning"


class Code(enum.Enum):
    """The kind of a finding. The values are stable for scripts that read the JSON output."""

    UNREADABLE = "unreadable"
    OVERSIZED = "oversized"
    BAD_UTF8 = "bad-utf8"
    BAD_JSON = "bad-json"
    DEEP_NESTING = "deep-nesting"
    DUPLICATE_MEMBER = "duplicate-member"
    DUPLICATE_NAME = "duplicate-name"
    NOT_AN_OBJECT = "not-an-object"
    UNKNOWN_KIND = "unknown-kind"
    UNKNOWN_FIELD = "unknown-field"
    MISSING_FIELD = "missing-field"
    BAD_VALUE = "bad-value"
    EMPTY = "empty"
    MISSING_REFERENCE = "missing-reference"
    CIRCULAR = "circular"
    UNREACHABLE = "unreachable"
    TWO_OWNERS = "two-owners"
    NO_OWNER = "no-owner"
    CONTRADICTION = "contradiction"
    SHADOWED = "shadowed"
    STRANDED_CAPACITY = "stranded-capacity"
    STRANDED_KEYS = "stranded-keys"
    EVERY_ZONE = "every-zone"
    OVERLAPPING_DRAINS = "overlapping-drains"
    IMPOSSIBLE_LIMIT = "impossible-limit"
    UNSAFE_CHANGE = "unsafe-change"
    NARROWED = "narrowed"
    SLOW_RECOVERY = "slow-recovery"
    SINGLE_ZONE = "single-zone"
    UNKNOWN_CAPACITY = "unknown-capacity"
    UNUSUAL = "unusual"


class Finding(msgspec.Struct, kw_only=True, frozen=True):
    """A refusal or a warning, with its cause and the file, object and field that it concerns."""

    severity: Severity
    code: Code
    cause: str
    file: str = ""
    kind: str = ""
    name: str = ""
    field: str = ""


Files = collections.abc.Mapping[tuple[str, str], str]


def refuse(
    code: Code, cause: str, *, file: str = "", kind: str = "", name: str = "", field: str = ""
) -> Finding:
    """Return a refusal.

    :param code: its kind.
    :param cause: what is wrong, in terms that an operator knows.
    :param file: the file, if known.
    :param kind: the kind of the object, if known.
    :param name: the name of the object, if known.
    :param field: the path of the field, if known.
    """
    return Finding(
        severity=Severity.REFUSAL,
        code=code,
        cause=cause,
        file=file,
        kind=kind,
        name=name,
        field=field,
    )


def warn(code: Code, cause: str, *, kind: str = "", name: str = "", field: str = "") -> Finding:
    """Return a warning.

    :param code: its kind.
    :param cause: what is unusual, and its effect.
    :param kind: the kind of the object, if known.
    :param name: the name of the object, if known.
    :param field: the field, if known.
    """
    return Finding(
        severity=Severity.WARNING, code=code, cause=cause, kind=kind, name=name, field=field
    )


def list_refusals(findings: collections.abc.Iterable[Finding]) -> list[Finding]:
    """Return the findings that prevent publishing.

    :param findings: refusals and warnings.
    """
    return [entry for entry in findings if entry.severity is Severity.REFUSAL]


def locate(findings: collections.abc.Iterable[Finding], files: Files) -> list[Finding]:
    """Return the findings with the files of their objects filled in.

    :param findings: findings that name objects.
    :param files: the file of each object, by kind and name.
    """
    return [
        (
            entry
            if entry.file
            else msgspec.structs.replace(entry, file=files.get((entry.kind, entry.name), ""))
        )
        for entry in findings
    ]


def render(entry: Finding) -> str:
    """Return a finding as one line of text.

    :param entry: the finding.
    """
    place = [entry.file] if entry.file else []
    if entry.kind or entry.name:
        place.append(f"{entry.kind} {entry.name}".strip())
    if entry.field:
        place.append(entry.field)
    where = ": ".join(place)
    label = "refused" if entry.severity is Severity.REFUSAL else "warning"
    return f"{label} [{entry.code.value}] {where}{': ' if where else ''}{entry.cause}"
