"""Tests that the pages for operators agree with the code."""

import json
import pathlib

import msgspec
import pytest

from ebonyvalve import tool
from ebonyvalve.version import finding, load

DOCS = pathlib.Path(__file__).parents[2] / "docs"
KINDS: dict[str, type[msgspec.Struct]] = {**load.KINDS, "Settings of the tool": tool.ToolSettings}


def show_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    has_factory = field.default is msgspec.NODEFAULT
    value = field.default_factory() if has_factory else field.default
    return f"`{json.dumps(value)}`"


@pytest.mark.parametrize("kind", KINDS)
def test_every_field_is_documented(kind: str) -> None:
    """Guards against a field that the page omits, or shows with another default."""
    section = (DOCS / "configuration.md").read_text().split(f"\n## {kind}\n")[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    rows = [[cell.strip() for cell in line.split("|")] for line in lines]
    documented = [(row[1].strip("`"), row[3]) for row in rows]
    fields = msgspec.structs.fields(KINDS[kind])
    assert documented == [(field.name, show_default(field)) for field in fields]


def test_every_kind_of_finding_is_explained() -> None:
    """Guards against a kind of finding that the page for operators does not explain."""
    page = (DOCS / "OPERATIONS.md").read_text()
    assert [code for code in finding.Code if f"`{code.value}`" not in page] == []
