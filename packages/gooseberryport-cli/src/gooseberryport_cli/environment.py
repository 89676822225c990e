"""Interface through which commands access the store, daemons, folders, clocks and files."""

from __future__ import annotations

import secrets
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Protocol

from gooseberryport_cli.daemon_client import DaemonClient, HttpDaemonClient
from gooseberryport_cli.errors import UsageError
from gooseberryport_cli.folders import DiskFolder, Folder, read_files
from gooseberryport_platform import PlatformError, Store, StoreSettings, open_store

STORE_TIMEOUT_S = 3.0
TOKEN_BYTES = 12


class Environment(Protocol):
    """The external resources that commands use."""

    def store(self, address: str) -> AbstractContextManager[Store]:
        """Open the key-value store at ``IP:port``."""

    def daemon_client(self, addresses: tuple[str, ...]) -> DaemonClient:
        """Return a client of the daemons at the given addresses."""

    def folder(self, path: str) -> Folder:
        """Return a folder of configuration files."""

    def read_files(self, path: str) -> dict[str, bytes]:
        """Return the content of the files of a folder, of one file, or of standard input."""

    def wall_time(self) -> float:
        """Return the wall-clock time, in seconds since 1970-01-01 UTC."""

    def monotonic(self) -> float:
        """Return the monotonic time, in seconds."""

    def sleep(self, seconds: float) -> None:
        """Sleep for the given time."""

    def token(self) -> str:
        """Return a globally unique token."""

    def write_file(self, path: str, text: str) -> None:
        """Write a text file."""


class SystemEnvironment:
    """The resources of this machine, as used by the installed command."""

    @contextmanager
    def store(self, address: str) -> Iterator[Store]:
        """Open the key-value store at ``IP:port``; raises `UsageError` if it is invalid."""
        settings = StoreSettings(address=address, timeout_s=STORE_TIMEOUT_S)
        try:
            with open_store(settings) as store:
                yield store
        except PlatformError as exc:
            raise UsageError(message=f"--store {exc}", remedy="see --help") from exc

    def daemon_client(self, addresses: tuple[str, ...]) -> DaemonClient:
        """Return a client of the daemons at the given addresses."""
        return HttpDaemonClient(addresses)

    def folder(self, path: str) -> Folder:
        """Return a folder of configuration files."""
        return DiskFolder(path)

    def read_files(self, path: str) -> dict[str, bytes]:
        """Return the content of the files; raises `FolderError` if that fails."""
        return read_files(path)

    def wall_time(self) -> float:
        """Return the wall-clock time, in seconds since 1970-01-01 UTC."""
        return time.time()

    def monotonic(self) -> float:
        """Return the monotonic time, in seconds."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Sleep for the given time."""
        time.sleep(seconds)

    def token(self) -> str:
        """Return a globally unique token."""
        return secrets.token_hex(TOKEN_BYTES)

    def write_file(self, path: str, text: str) -> None:
        """Write a text file; raises `UsageError` if that fails."""
        try:
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
        except OSError as exc:
            raise UsageError(message=str(exc), remedy="give a writable file") from exc
