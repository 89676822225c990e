"""Folders of configuration files, and the version that a folder was made from."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Protocol

from gooseberryport_cli.errors import FolderError
from gooseberryport_core.types import ConfigVersion

BASE_FILE = ".gooseberryport-base"
"""File in a folder that names the version which the folder was made from."""


class Folder(Protocol):
    """A folder of configuration files."""

    def read(self) -> dict[str, bytes]:
        """Return the content of each ``*.json`` file, by name."""

    def base(self) -> ConfigVersion | None:
        """Return the version that the folder was made from, or None if it does not tell."""

    def write(self, files: Mapping[str, bytes]) -> None:
        """Make the folder hold exactly these ``*.json`` files."""

    def record_base(self, version: ConfigVersion) -> None:
        """Keep the version that the folder was made from, if the folder can be written to."""


class DiskFolder:
    """A folder on a disk; each method raises `FolderError`.

    Parameters
    ----------
    path
        Where it is.
    """

    def __init__(self, path: str) -> None:
        self._path = Path(path)

    def read(self) -> dict[str, bytes]:
        """Return the content of each ``*.json`` file, by name."""
        if not self._path.is_dir():
            raise FolderError(path=str(self._path), detail="not a folder")
        try:
            return {path.name: path.read_bytes() for path in self._files()}
        except OSError as exc:
            raise FolderError(path=str(self._path), detail=str(exc)) from exc

    def base(self) -> ConfigVersion | None:
        """Return the version that the folder was made from, or None if it does not tell."""
        try:
            return ConfigVersion(int((self._path / BASE_FILE).read_text()))
        except (OSError, ValueError):
            return None

    def write(self, files: Mapping[str, bytes]) -> None:
        """Make the folder hold exactly these ``*.json`` files."""
        try:
            self._path.mkdir(parents=True, exist_ok=True)
            for path in self._files():
                if path.name not in files:
                    path.unlink()
            for name, content in files.items():
                (self._path / name).write_bytes(content)
        except OSError as exc:
            raise FolderError(path=str(self._path), detail=str(exc)) from exc

    def record_base(self, version: ConfigVersion) -> None:
        """Keep the version that the folder was made from, if the folder can be written to."""
        try:
            (self._path / BASE_FILE).write_text(f"{version}\n")
        except OSError:
            return

    def _files(self) -> list[Path]:
        return sorted(
            path
            for path in self._path.glob("*.json")
            if path.is_file() and not path.name.startswith(".")
        )
