"""Writes a schedule (a "day" of the test kit) for each entry of a site's list of troubles.

``python -m bench.singles SITE FOLDER`` prints the files, so that each trouble can be run alone.
"""

import pathlib
import sys
import tomllib
import typing

# Kinds of trouble that an operator plans; all others are faults.
PLANNED = {
    "big_config",
    "config_change",
    "config_storm",
    "evacuate",
    "release",
    "roll_term",
    "scale_in",
    "scale_out",
}
# Seconds of traffic before the trouble: targets are warm by then, and most of the day remains.
BEGINS_AT_S = 8.0


def write_days(site: pathlib.Path, folder: pathlib.Path) -> list[pathlib.Path]:
    """Write one file for each trouble of a site; return the files.

    :param site: the site's file.
    :param folder: where the files are written; created if missing.
    """
    troubles = tomllib.loads(site.read_text())["troubles"]
    folder.mkdir(parents=True, exist_ok=True)
    return [_write_day(folder, number, entry) for number, entry in enumerate(troubles, start=1)]


def _write_day(folder: pathlib.Path, number: int, entry: dict[str, typing.Any]) -> pathlib.Path:
    name = f"single-{number:02}-{entry['kind']}"
    fields = ", ".join(f"{key} = {_render(value)}" for key, value in entry.items())
    list_name = "plan" if entry["kind"] in PLANNED else "faults"
    path = folder / f"{name}.toml"
    path.write_text(
        f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {number}\n'
        f"{list_name} = [\n  {{ at = {BEGINS_AT_S}, {fields} }},\n]\n"
    )
    return path


def _render(value: object) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)


if __name__ == "__main__":
    for written in write_days(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])):
        print(written)
