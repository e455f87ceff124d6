"""Reads directories of object files. A set with any fault is refused as a whole."""

import collections.abc
import dataclasses
import json
import pathlib
import re
import typing

import msgspec
from returns import result

from ebonyvalve.version import finding, objects

MAX_FILE_BYTES = 1024 * 1024
MAX_DEPTH = 32
# A 64-bit integer has at most 20 characters; converting longer ones only takes time.
MAX_INTEGER_DIGITS = 20
KINDS: dict[str, type[objects.AnyObject]] = {
    "Service": objects.Service,
    "AvailabilityZone": objects.AvailabilityZone,
    "Key": objects.Key,
    "AssignmentRule": objects.AssignmentRule,
    "DrainOrder": objects.DrainOrder,
}
# A string is matched as one token so that brackets inside it are not counted. The possessive
# quantifier and the optional closing quote keep the scan linear for unterminated strings.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[\[\]{}]', re.DOTALL)
_SURROGATE = re.compile("[\ud800-\udfff]")

Members = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loaded:
    """A set of objects, and the file of each object by its kind and name."""

    objects: objects.ObjectSet
    files: dict[tuple[str, str], str]


LoadResult = result.Result[Loaded, list[finding.Finding]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pairs:
    """The members of a JSON object in file order, with duplicates."""

    items: list[tuple[str, typing.Any]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Draft:
    """One object as read from a file."""

    file: str
    kind: str
    name: str
    members: Members


def read_directories(paths: collections.abc.Iterable[pathlib.Path]) -> LoadResult:
    """Read the ``*.json`` files of directories as one set of objects.

    :param paths: the directories; subdirectories and other files are not read.
    """
    bodies: dict[str, bytes] = {}
    faults: list[finding.Finding] = []
    for directory in paths:
        try:
            names = sorted(entry for entry in directory.iterdir() if entry.suffix == ".json")
        except OSError as error:
            faults.append(_refuse_file(str(directory), error))
            continue
        for path in names:
            _read_file(path, bodies, faults)
    parsed = parse_files(bodies)
    if faults:
        return result.Failure(faults + parsed.swap().value_or([]))
    return parsed


def parse_files(bodies: collections.abc.Mapping[str, bytes]) -> LoadResult:
    """Parse the contents of files into a set of objects, or return every fault.

    :param bodies: the content of each file by its name.
    """
    faults: list[finding.Finding] = []
    drafts: list[_Draft] = []
    for file, body in bodies.items():
        drafts.extend(_parse_file(file, body, faults))
    _refuse_duplicate_names(drafts, faults)
    services = {draft.name: draft.members for draft in drafts if draft.kind == "Service"}
    entries: list[objects.AnyObject] = []
    for draft in drafts:
        members = draft.members
        if draft.kind == "Service":
            members = _inherit(draft, services)
        entry = _convert(draft, members, faults)
        if entry is not None:
            entries.append(entry)
    if faults:
        return result.Failure(faults)
    files = {(draft.kind, draft.name): draft.file for draft in drafts}
    return result.Success(Loaded(objects=objects.sort_objects(entries), files=files))


def _refuse_file(file: str, error: OSError) -> finding.Finding:
    return finding.refuse(
        finding.Code.UNREADABLE, f"cannot be read: {error.strerror or error}", file=file
    )


def _read_file(path: pathlib.Path, bodies: dict[str, bytes], faults: list[finding.Finding]) -> None:
    try:
        if not path.is_file():
            # Opening a named pipe would block until a writer opens it.
            cause = "is not a regular file"
            faults.append(finding.refuse(finding.Code.UNREADABLE, cause, file=str(path)))
            return
        with path.open("rb") as stream:
            bodies[str(path)] = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        faults.append(_refuse_file(str(path), error))


def _parse_file(
    file: str, body: bytes, faults: list[finding.Finding]
) -> collections.abc.Iterator[_Draft]:
    parsed = _parse_json(file, body)
    if not isinstance(parsed, result.Success):
        faults.append(parsed.failure())
        return
    tree = parsed.unwrap()
    entries = tree if isinstance(tree, list) else [tree]
    for index, entry in enumerate(entries):
        path = f"[{index}]" if isinstance(tree, list) else ""
        if not isinstance(entry, _Pairs):
            cause = "each entry must be an object with kind and name"
            faults.append(finding.refuse(finding.Code.NOT_AN_OBJECT, cause, file=file, field=path))
            continue
        draft = _parse_entry(file, path, entry, faults)
        if draft is not None:
            yield draft


def _parse_json(file: str, body: bytes) -> result.Result[typing.Any, finding.Finding]:
    if len(body) > MAX_FILE_BYTES:
        cause = f"is larger than {MAX_FILE_BYTES} bytes; split it into several files"
        return result.Failure(finding.refuse(finding.Code.OVERSIZED, cause, file=file))
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        cause = f"is not valid UTF-8 at byte {error.start}"
        return result.Failure(finding.refuse(finding.Code.BAD_UTF8, cause, file=file))
    if _measure_depth(body) > MAX_DEPTH:
        cause = f"is nested more than {MAX_DEPTH} levels deep"
        return result.Failure(finding.refuse(finding.Code.DEEP_NESTING, cause, file=file))
    try:
        return result.Success(
            json.loads(
                text,
                object_pairs_hook=lambda items: _Pairs(items=items),
                parse_constant=_refuse_constant,
                parse_int=_parse_integer,
            )
        )
    except json.JSONDecodeError as error:
        cause = f"is not valid JSON at line {error.lineno}, column {error.colno}: {error.msg}"
    except ValueError as error:
        cause = f"is not valid JSON: {error}"
    return result.Failure(finding.refuse(finding.Code.BAD_JSON, cause, file=file))


def _measure_depth(body: bytes) -> int:
    depth = deepest = 0
    for match in _TOKEN.finditer(body):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
            deepest = max(deepest, depth)
        elif token in (b"]", b"}"):
            depth -= 1
    return deepest


def _refuse_constant(text: str) -> typing.Any:
    raise ValueError(f"{text} is not a JSON number")


def _parse_integer(text: str) -> int:
    if len(text) > MAX_INTEGER_DIGITS:
        raise ValueError(f"an integer has more than {MAX_INTEGER_DIGITS} digits")
    return int(text)


def _parse_entry(
    file: str, path: str, entry: _Pairs, faults: list[finding.Finding]
) -> _Draft | None:
    labels = {key: value for key, value in entry.items if isinstance(value, str)}
    kind = _replace_surrogates(labels.get("kind", ""))
    name = _replace_surrogates(labels.get("name", ""))
    count_before = len(faults)

    def record(code: finding.Code, cause: str, field: str) -> None:
        faults.append(
            finding.refuse(code, cause, file=file, kind=kind, name=name or path, field=field)
        )

    members = _convert_pairs(entry, "", record)
    if kind not in KINDS:
        stated = f"unknown kind {kind!r}" if kind else "kind is missing or not a string"
        cause = f"{stated}; the kinds are {', '.join(KINDS)}"
        faults.append(
            finding.refuse(
                finding.Code.UNKNOWN_KIND, cause, file=file, name=name or path, field="kind"
            )
        )
    if len(faults) > count_before:
        return None
    del members["kind"]
    return _Draft(file=file, kind=kind, name=name or path, members=members)


def _replace_surrogates(text: str) -> str:
    return _SURROGATE.sub("\ufffd", text)


RecordFault = collections.abc.Callable[[finding.Code, str, str], None]


def _convert_pairs(value: typing.Any, path: str, record: RecordFault) -> typing.Any:
    """Convert JSON objects to dicts, and record duplicate members and unpaired surrogates."""
    if isinstance(value, str):
        if _SURROGATE.search(value):
            record(finding.Code.BAD_UTF8, "contains an unpaired surrogate", path)
        return value
    if isinstance(value, list):
        return [
            _convert_pairs(entry, f"{path}[{index}]", record) for index, entry in enumerate(value)
        ]
    if not isinstance(value, _Pairs):
        return value
    members: Members = {}
    for key, member in value.items:
        inner = f"{path}.{_replace_surrogates(key)}" if path else _replace_surrogates(key)
        if _SURROGATE.search(key):
            record(finding.Code.BAD_UTF8, "contains an unpaired surrogate", inner)
        if key in members:
            record(finding.Code.DUPLICATE_MEMBER, "is stated more than once", inner)
        members[key] = _convert_pairs(member, inner, record)
    return members


def _refuse_duplicate_names(drafts: list[_Draft], faults: list[finding.Finding]) -> None:
    files_by_name: dict[tuple[str, str], str] = {}
    for draft in drafts:
        if "name" not in draft.members:
            continue
        kind_and_name = (draft.kind, draft.name)
        if kind_and_name in files_by_name:
            faults.append(
                finding.refuse(
                    finding.Code.DUPLICATE_NAME,
                    f"another {draft.kind} of this name is in {files_by_name[kind_and_name]}",
                    file=draft.file,
                    kind=draft.kind,
                    name=draft.name,
                    field="name",
                )
            )
        files_by_name.setdefault(kind_and_name, draft.file)


def _inherit(draft: _Draft, services: collections.abc.Mapping[str, Members]) -> Members:
    """Return a service's members, with missing ones inherited along its chain of ``like``.

    A circular or dangling reference ends the chain; the check refuses it.
    """
    members = dict(draft.members)
    visited = {draft.name}
    like = members.get("like")
    while isinstance(like, str) and like not in visited and like in services:
        visited.add(like)
        base = services[like]
        members = {key: value for key, value in base.items() if key != "like"} | members
        like = base.get("like")
    return members


def _convert(
    draft: _Draft, members: Members, faults: list[finding.Finding]
) -> objects.AnyObject | None:
    """Convert the members field by field, so that every fault of an object is reported."""
    kind = KINDS[draft.kind]
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    count_before = len(faults)

    def refuse(code: finding.Code, cause: str, field: str) -> None:
        faults.append(
            finding.refuse(
                code, cause, file=draft.file, kind=draft.kind, name=draft.name, field=field
            )
        )

    values: Members = {}
    for key, value in members.items():
        if key not in fields:
            # A fault in an inherited field is reported for the service that states it.
            if key in draft.members:
                known = ", ".join(fields)
                refuse(finding.Code.UNKNOWN_FIELD, f"is not a field; the fields are {known}", key)
            continue
        value_faults = list(_list_faults(value, fields[key].type))
        if not value_faults:
            values[key] = msgspec.convert(value, type=fields[key].type)
        elif key in draft.members:
            for cause, inner in value_faults:
                refuse(finding.Code.BAD_VALUE, cause, f"{key}{inner}")
    for key, field in fields.items():
        if field.required and key not in members:
            refuse(finding.Code.MISSING_FIELD, "is required", key)
    if len(faults) > count_before:
        return None
    return kind(**values)


def _list_faults(value: typing.Any, kind: typing.Any) -> collections.abc.Iterator[tuple[str, str]]:
    """Yield the cause and the path of every fault of a value, element by element."""
    origin = typing.get_origin(kind)
    if origin is list and isinstance(value, list):
        (element,) = typing.get_args(kind)
        for index, entry in enumerate(value):
            yield from _prefix(f"[{index}]", _list_faults(entry, element))
    elif origin is dict and isinstance(value, dict):
        name, element = typing.get_args(kind)
        for key, entry in value.items():
            yield from _prefix(f".{_replace_surrogates(key)}", _list_faults(key, name))
            yield from _prefix(f".{_replace_surrogates(key)}", _list_faults(entry, element))
    else:
        try:
            msgspec.convert(value, type=kind)
        except msgspec.ValidationError as error:
            yield _rephrase(str(error)), ""


def _prefix(
    path: str, faults: collections.abc.Iterable[tuple[str, str]]
) -> collections.abc.Iterator[tuple[str, str]]:
    for cause, inner in faults:
        yield cause, path + inner


def _rephrase(message: str) -> str:
    """Rephrase an error message of msgspec in terms that an operator knows."""
    for pattern, meaning in objects.PATTERNS.items():
        if repr(pattern) in message:
            return f"must be {meaning}"
    cause, _, _ = message.partition(" - at `$")
    cause = cause.replace("`", "")
    return cause[:1].lower() + cause[1:]
