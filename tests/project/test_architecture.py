"""Checks that docs/ARCHITECTURE.md names only modules that exist, and every package of the project."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
PACKAGES = sorted(path.parent.name for path in (ROOT / "kelpfront").glob("*/__init__.py"))


def named_paths() -> list[str]:
    return sorted(set(re.findall(r"kelpfront/[\w/]*\w(?:\.py)?", PAGE.read_text())))


@pytest.mark.parametrize("path", named_paths())
def test_path_on_the_architecture_page_exists(path: str) -> None:
    assert (ROOT / path).exists() or (ROOT / f"{path}.py").exists()


@pytest.mark.parametrize("name", re.findall(r"python -m (kelpfront[\w.]*)", PAGE.read_text()))
def test_program_on_the_architecture_page_exists(name: str) -> None:
    path = ROOT / name.replace(".", "/")
    assert (path / "__main__.py").exists() or path.with_suffix(".py").exists()


@pytest.mark.parametrize("package", PACKAGES)
def test_package_is_on_the_architecture_page(package: str) -> None:
    if package in ("api", "watch"):  # the page names API types in prose; `watch` is an alias of a program
        assert package in PAGE.read_text().lower()
    else:
        assert f"kelpfront/{package}" in PAGE.read_text()


def test_links_of_the_architecture_page_lead_to_existing_pages() -> None:
    targets = re.findall(r"\]\(([\w./-]+\.md)\)", PAGE.read_text())
    assert targets
    assert [target for target in targets if not (PAGE.parent / target).is_file()] == []
