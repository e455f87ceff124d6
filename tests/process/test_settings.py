"""Tests of the daemon's settings."""

import json
import pathlib
import re
import typing

import msgspec
import pytest

from ebonyvalve import errors
from ebonyvalve.process import demo, settings

PAGE = pathlib.Path(__file__).parent.parent.parent / "docs" / "configuration.md"
CASES: list[tuple[dict[str, typing.Any], str]] = [
    ({"unknown": 1}, "unknown"),
    ({"node": ""}, "node: must not be empty"),
    ({"slots": 0}, "slots: must be at least 1, is 0"),
    ({"slots": "ten"}, "slots"),
    ({"caller_address": "localhost:80"}, "caller_address: 'localhost:80' is not IP:port"),
    ({"hop_address": "127.0.0.1:99999"}, "hop_address: port '99999'"),
    ({"peer_address": "10.0.0.1:80"}, "peer_address: 10.0.0.1:80 is not a loopback address"),
    (
        {
            "announce_address": "10.0.0.1:80",
            "tls": {"certificate": "a", "key": "b", "authority": "c"},
        },
        "announce_address: 10.0.0.1:80 is not a loopback address",
    ),
    ({"log_level": "loud"}, "log_level: must be one of"),
    ({"log_answered_share": 2}, "log_answered_share: must be 0 to 1"),
]


@pytest.mark.parametrize(("change", "expected"), CASES)
def test_fault_is_named(
    change: dict[str, typing.Any], expected: str, tmp_path: pathlib.Path
) -> None:
    """Guards against faults that are accepted, or refused without naming file, field and cause."""
    path = tmp_path / "settings.json"
    good = json.loads(msgspec.json.encode(demo.build_settings(0)))
    path.write_text(json.dumps({**good, **change}))
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(path)
    assert expected in str(caught.value)
    assert str(path) in str(caught.value)


def test_plaintext_beyond_loopback_must_be_allowed() -> None:
    """Guards against a check for plaintext that allow_plaintext does not turn off."""
    cfg = msgspec.structs.replace(demo.build_settings(0), peer_address="10.0.0.1:80")
    assert settings.check(cfg)
    assert not settings.check(msgspec.structs.replace(cfg, allow_plaintext=True))


def test_page_names_every_setting() -> None:
    """Guards against settings that the page does not list, or that only the page lists."""
    section = PAGE.read_text().split("## Settings of the daemon")[1]
    named = set(re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE))
    assert named == {field.name for field in msgspec.structs.fields(settings.Settings)}
