"""Folders of configuration files, which record the version that they are based on."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Protocol

from gooseberryport_cli.errors import FolderError
from gooseberryport_core.types import ConfigVersion

BASE_FILE = ".gooseberryport-base"
"""File in a folder that contains the number of the version that the folder is based on."""


STANDARD_INPUT = "-"
STANDARD_INPUT_NAME = "(standard input)"


class Folder(Protocol):
    """A folder of configuration files."""

    def read(self) -> dict[str, bytes]:
        """Return the content of each ``*.json`` file, by name."""

    def base(self) -> ConfigVersion | None:
        """Return the version that the folder is based on, or None if none is recorded."""

    def write(self, files: Mapping[str, bytes]) -> None:
        """Write these ``*.json`` files and delete all others."""

    def record_base(self, version: ConfigVersion) -> None:
        """Record the version that the folder is based on, if the folder is writable."""


class DiskFolder:
    """A folder in the file system; reading and writing files raises `FolderError` on failure.

    Parameters
    ----------
    path
        Path of the folder.
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
        """Return the version that the folder is based on, or None if none is recorded."""
        try:
            return ConfigVersion(int((self._path / BASE_FILE).read_text()))
        except (OSError, ValueError):
            return None

    def write(self, files: Mapping[str, bytes]) -> None:
        """Write these ``*.json`` files and delete all others."""
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
        """Record the version that the folder is based on, if the folder is writable."""
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


def read_files(path: str) -> dict[str, bytes]:
    """Return the content of each file of a folder, of one file, or of standard input.

    Raises
    ------
    FolderError
        The folder or file can't be read.
    """
    try:
        if path == STANDARD_INPUT:
            return {STANDARD_INPUT_NAME: sys.stdin.buffer.read()}
        if Path(path).is_file():
            return {Path(path).name: Path(path).read_bytes()}
    except (OSError, ValueError) as exc:
        raise FolderError(path=path, detail=str(exc)) from exc
    return DiskFolder(path).read()
