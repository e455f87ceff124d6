"""Checks the structure of the code: module imports only, layers by lifetime, keyword-only state."""

import ast
import importlib.util
import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "ebonyvalve"
LIFETIMES = ["request", "connection", "version", "process"]
# These modules assemble the program and may import from every folder.
ASSEMBLY_MODULES = {"process/daemon.py", "process/demo.py"}
MODULES = sorted(SOURCE.rglob("*.py"))


def list_from_imports(path: pathlib.Path) -> list[tuple[str, str]]:
    """Return the (package, name) pairs of the from-imports of a file."""
    tree = ast.parse(path.read_text())
    return [
        (node.module or "", alias.name)
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    ]


def is_module(package: str, name: str) -> bool:
    """Return whether an imported name is a module rather than a member of one."""
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except ModuleNotFoundError:
        return False


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(SOURCE)))
def test_imports_are_modules(path: pathlib.Path) -> None:
    """Guards against imported functions and classes whose uses do not show their module."""
    names = [f"{package}.{name}" for package, name in list_from_imports(path)]
    violations = [
        f"{package}.{name}"
        for package, name in list_from_imports(path)
        if not is_module(package, name) and (package, name) != ("ebonyvalve", "__version__")
    ]
    assert not violations, f"{path.name} imports names: {violations} (of {names})"


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(SOURCE)))
def test_longer_life_does_not_import_shorter(path: pathlib.Path) -> None:
    """Guards against long-lived code that depends on state with a shorter lifetime.

    A process that keeps state of a request or connection would leak it into later requests.
    """
    relative = str(path.relative_to(SOURCE))
    lifetime = relative.split("/")[0]
    if lifetime not in LIFETIMES or relative in ASSEMBLY_MODULES:
        return
    shorter_lived = LIFETIMES[: LIFETIMES.index(lifetime)]
    violations = [
        package
        for package, _ in list_from_imports(path)
        for layer in shorter_lived
        if package == f"ebonyvalve.{layer}"
    ]
    assert not violations, f"{relative} imports from {violations}"


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(SOURCE)))
def test_state_classes_take_keywords_only(path: pathlib.Path) -> None:
    """Guards against positional construction, which breaks silently when a field is added."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ClassDef):
            continue
        text = [ast.unparse(part) for part in [*node.decorator_list, *node.bases, *node.keywords]]
        if any("dataclass" in part or part == "msgspec.Struct" for part in text):
            assert any("kw_only=True" in part for part in text), f"{path.name}: {node.name}"
