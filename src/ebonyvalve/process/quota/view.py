"""The members as the store's answers give them, for the choice of lenders.

The node itself learns of some changes earlier and in another order. The choice of lenders relies on
it that a node which knows of a change knows of all earlier ones too.
"""

import dataclasses

from returns import result

from ebonyvalve.process import identity, member
from ebonyvalve.process.store import table


@dataclasses.dataclass(kw_only=True)
class View:
    """The zone of each member as of a version of the store.

    ``row_versions`` are those of the rows that were applied last.
    """

    version: int = 0
    zones: dict[identity.NodeId, identity.ZoneId] = dataclasses.field(default_factory=dict)
    row_versions: dict[identity.NodeId, int] = dataclasses.field(default_factory=dict)


def apply(view: View, read: table.Rows, prefix: str, *, is_whole: bool) -> bool:
    """Apply rows; return whether they are as new as those known before.

    A row that can't be read leaves the member as it was known before.

    :param view: the state.
    :param read: rows that are complete up to their version.
    :param prefix: of the keys of members' rows.
    :param is_whole: whether these are all rows, so that others were removed.
    """
    if read.version < view.version:
        return False
    rows = [row for row in read.rows if row.name.key.startswith(prefix)]
    if is_whole:
        names = {row.name.key.removeprefix(prefix) for row in rows}
        for name in [name for name in view.zones if name not in names]:
            _drop(view, name)
    for row in rows:
        name = identity.NodeId(row.name.key.removeprefix(prefix))
        if row.version <= view.row_versions.get(name, 0):
            continue
        if row.is_removed:
            _drop(view, name)
            continue
        decoded = member.decode(row.value)
        if not isinstance(decoded, result.Success):
            continue
        announced = decoded.unwrap()
        if member.has_left(announced):
            _drop(view, name)
            continue
        view.zones[name] = announced.zone
        view.row_versions[name] = row.version
    view.version = read.version
    return True


def _drop(view: View, name: identity.NodeId) -> None:
    view.zones.pop(name, None)
    view.row_versions.pop(name, None)
