"""The operators' command line for configurations of the platform.

``python3 -m ebonyvalve.platform.tool check FILE`` needs no network and no running node.
"""

import pathlib
import sys

import defopt

from ebonyvalve.platform import configuration
from ebonyvalve.version import traffic

DONE = 0
REFUSED = 1


def check(file: pathlib.Path, *, against: pathlib.Path | None = None) -> int:
    """Check a configuration as the platform stores it, with every reason against it.

    :param file: the JSON document.
    :param against: the document in force; what would change is listed, and a version that does
        not rise is refused.
    """
    found = read(file)
    reasons = found if isinstance(found, list) else []
    before: traffic.Traffic | None = None
    if against is not None:
        in_force = read(against)
        if isinstance(in_force, list):
            reasons = [*reasons, *(f"in force, {reason}" for reason in in_force)]
        else:
            before = in_force
    if isinstance(found, traffic.Traffic) and before is not None:
        if found.version <= before.version:
            reasons = [f"version {found.version} is not above {before.version}, which is in force"]
        for line in traffic.list_changes(before, found):
            print(f"changes {line}")
    for reason in reasons:
        print(f"refused {reason}")
    noun = "reason" if len(reasons) == 1 else "reasons"
    print(f"refused, {len(reasons)} {noun}" if reasons else "accepted")
    return REFUSED if reasons else DONE


def read(file: pathlib.Path) -> traffic.Traffic | list[str]:
    """Return the configuration of a file, or every reason against it.

    :param file: the JSON document.
    """
    try:
        return configuration.decode(file.read_bytes())
    except OSError as exc:
        return [f"{file}: {exc.strerror}"]


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(defopt.run([check], argparse_kwargs={"prog": "ebonyvalve.platform.tool"}))


if __name__ == "__main__":
    main()
