"""A settings file that can't be used is refused with the field's name."""

import pytest

from ebonyvalve import errors
from ebonyvalve.platform import settings
from tests.platform import mesh as mesh_module

GOOD = mesh_module.write_settings(1, "orders", [1, 2, 3, 4, 5], 6)


def test_good_settings() -> None:
    """Fields that are not known are ignored; bounds may be true or false."""
    place = settings.decode(GOOD)
    assert (place.node, place.service, place.most_hold_s) == ("n1", "orders", 10.0)
    assert place.target_address == "127.0.0.1:5"
    assert place.retries.ratio == 0.2


@pytest.mark.parametrize(
    ("broken", "named"),
    [
        (GOOD.replace(b"backend", b"back_end"), "backend"),
        (GOOD.replace(b"outbound", b"out"), "outbound"),
        (GOOD.replace(b"heartbeat_s = 0.2", b'heartbeat_s = "often"'), "heartbeat_s"),
        (b"node = ", "settings"),
        (b"\xff\xfe", "settings"),
    ],
)
def test_broken_settings_name_the_field(broken: bytes, named: str) -> None:
    """The daemon can't start; its one line must say what to mend."""
    with pytest.raises(errors.SettingsError, match=named):
        settings.decode(broken)
