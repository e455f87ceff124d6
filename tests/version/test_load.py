"""Tests of reading object files, also with generated faults."""

import json
import os
import pathlib
import typing

from hypothesis import given, settings
import hypothesis.strategies as st

from ebonyvalve.version import check, finding, load, objects

FIELDS = sorted({name for kind in load.KINDS.values() for name in kind.__struct_fields__})
TEXTS = st.text("az-/\u00e9\ud800", max_size=6)
VALUES: st.SearchStrategy[typing.Any] = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXTS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=8,
)
MEMBERS = st.dictionaries(st.sampled_from(FIELDS) | TEXTS, VALUES, max_size=6)
ENTRIES = st.builds(
    lambda kind, members: {"kind": kind, "name": "a", **members},
    st.sampled_from([*load.KINDS, "Other"]),
    MEMBERS,
)


def list_codes(bodies: dict[str, bytes]) -> list[finding.Code]:
    return [entry.code for entry in load.parse_files(bodies).swap().value_or([])]


@settings(derandomize=True, max_examples=300)
@given(body=st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(body: bytes) -> None:
    """Guards against an exception on files that are not JSON."""
    load.parse_files({"a.json": body})


@settings(derandomize=True, max_examples=150)
@given(entries=st.lists(ENTRIES, max_size=3))
def test_any_json_is_read_or_refused(entries: list[dict[str, typing.Any]]) -> None:
    """Guards against an exception, or an accepted object that cannot be encoded and decoded."""
    loaded = load.parse_files({"a.json": json.dumps(entries).encode()})
    accepted = loaded.map(lambda found: found.objects.objects).value_or([])
    assert len(accepted) == (0 if loaded.swap().value_or([]) else len(entries))
    encoded = objects.encode_body(objects.sort_objects(accepted))
    assert objects.decode_body(encoded).unwrap().objects == accepted
    check.check_objects(objects.sort_objects(accepted))


def test_every_fault_of_every_file_is_reported() -> None:
    """Guards against reporting only the first fault of a set of files."""
    bodies = {
        "a.json": b'{"kind": "Service", "name": "s", "slots": -1, "deadline_ms": "x", "y": 1}',
        "b.json": b'[{"kind": "Key"}, {"kind": "Service", "name": "s"}]',
        "c.json": b"{",
    }
    codes = list_codes(bodies)
    assert codes.count(finding.Code.BAD_VALUE) == 2
    assert codes.count(finding.Code.MISSING_FIELD) == 4
    assert {
        finding.Code.UNKNOWN_FIELD,
        finding.Code.DUPLICATE_NAME,
        finding.Code.BAD_JSON,
    } <= set(codes)


def test_hostile_files_are_refused() -> None:
    """Guards against files that need unbounded memory, stack or time, and non-JSON numbers."""
    service = b'{"kind": "Service", "name": "s", "slots": %s}'
    cases = {
        b" " * (load.MAX_FILE_BYTES + 1): finding.Code.OVERSIZED,
        b"[" * 500_000: finding.Code.DEEP_NESTING,
        b'"' + b'\\"' * 500_000: finding.Code.BAD_JSON,
        service % b"NaN": finding.Code.BAD_JSON,
        service % (b"9" * 5000): finding.Code.BAD_JSON,
        service % b"1e999": finding.Code.BAD_VALUE,
        b'{"kind": "AvailabilityZone", "name": "z", "region": "\\ud800"}': finding.Code.BAD_UTF8,
    }
    for body, code in cases.items():
        assert list_codes({"a.json": body}) == [code]


def test_brackets_in_strings_are_not_nesting() -> None:
    """Guards against counting brackets inside strings as nesting."""
    body = b'{"kind": "AvailabilityZone", "name": "z", "region": "\\"%s"}' % (b"[{" * 40)
    assert list_codes({"a.json": body}) == []


def test_like_fills_in_missing_fields() -> None:
    """Guards against inherited fields that override stated ones, or are lost in a chain."""
    body = (
        b'[{"kind": "Service", "name": "a", "slots": 3, "deadline_ms": 50},'
        b' {"kind": "Service", "name": "b", "like": "a", "slots": 4},'
        b' {"kind": "Service", "name": "c", "like": "b", "is_keyed": false}]'
    )
    entries = load.parse_files({"a.json": body}).unwrap().objects.objects
    services = [entry for entry in entries if isinstance(entry, objects.Service)]
    shown = [(entry.slots, entry.deadline_ms, entry.is_keyed) for entry in services]
    assert shown == [(3, 50, True), (4, 50, True), (4, 50, False)]


def test_unreadable_files_are_refused(tmp_path: pathlib.Path) -> None:
    """Guards against blocking on a named pipe, and skipping unreadable files silently."""
    os.mkfifo(tmp_path / "pipe.json")
    (tmp_path / "broken.json").symlink_to(tmp_path / "gone")
    (tmp_path / "notes.txt").write_text("not read")
    (tmp_path / "zone.json").write_text('{"kind": "AvailabilityZone"}')
    found = load.read_directories([tmp_path, tmp_path / "missing"]).failure()
    assert [entry.code for entry in found] == [
        finding.Code.UNREADABLE,
        finding.Code.UNREADABLE,
        finding.Code.UNREADABLE,
        finding.Code.MISSING_FIELD,
    ]
