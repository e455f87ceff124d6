"""Checking configurations of the platform before they are stored."""

import pathlib

import pytest

from ebonyvalve.platform import tool
from tests.platform import mesh


def write(folder: pathlib.Path, name: str, body: bytes) -> pathlib.Path:
    path = folder / name
    path.write_bytes(body)
    return path


def test_sound_configuration_is_accepted(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Nothing but the verdict is printed."""
    assert tool.check(write(tmp_path, "a.json", mesh.build_config(1))) == tool.DONE
    assert capsys.readouterr().out == "accepted\n"


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (mesh.build_config(1)[:-9], "configuration"),
        (mesh.build_config(1, backend="nowhere"), 'service "nowhere" does not exist'),
        (mesh.build_config(1, split=[{"backend": "orders", "weight": 0}]), "sum to nothing"),
        (mesh.build_config(1, split=[{"backend": "orders", "weight": -1}]), "is negative"),
        (mesh.build_config(1, prefix="orders"), "must begin and end with a slash"),
        (mesh.build_config(1, prefix="/same/"), "can never match"),
        (mesh.build_config(1, type="sometimes"), 'type "sometimes" is unknown'),
        (mesh.build_config(1, timeout_s=0), "can't be met"),
    ],
)
def test_every_reason_is_named(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str], body: bytes, reason: str
) -> None:
    """A junior operator must not have to ask why."""
    assert tool.check(write(tmp_path, "a.json", body)) == tool.REFUSED
    assert reason in capsys.readouterr().out


def test_version_that_goes_back_is_refused(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """An accepted configuration never reverts."""
    old = write(tmp_path, "old.json", mesh.build_config(5))
    new = write(tmp_path, "new.json", mesh.build_config(4))
    assert tool.check(new, against=old) == tool.REFUSED
    assert "not above 5" in capsys.readouterr().out


def test_changes_are_listed(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    """What callers would notice is said before anything happens."""
    old = write(tmp_path, "old.json", mesh.build_config(1))
    new = write(tmp_path, "new.json", mesh.build_config(2, hostname="new.example", timeout_s=1))
    assert tool.check(new, against=old) == tool.DONE
    out = capsys.readouterr().out
    assert "changes shop.example/orders/: its callers would be told 404" in out
    assert "changes new.example/orders/: new, to orders 100%" in out


def test_missing_file_is_named(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    """A mistyped name is not a broken configuration."""
    assert tool.check(tmp_path / "none.json") == tool.REFUSED
    assert "No such file" in capsys.readouterr().out
