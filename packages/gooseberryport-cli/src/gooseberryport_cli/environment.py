"""The world as commands reach it: the store, daemons, folders and clocks, behind a `Protocol`."""

from __future__ import annotations

import secrets
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Protocol

from gooseberryport_cli.daemon_client import DaemonClient, HttpDaemonClient
from gooseberryport_cli.errors import UsageError
from gooseberryport_cli.folders import DiskFolder, Folder
from gooseberryport_platform import PlatformError, Store, StoreSettings, open_store

STORE_TIMEOUT_S = 3.0
TOKEN_BYTES = 12


class Environment(Protocol):
    """What commands need from outside."""

    def store(self, address: str) -> AbstractContextManager[Store]:
        """Open the key-value service at ``IP:port``."""

    def daemon_client(self, addresses: tuple[str, ...]) -> DaemonClient:
        """Return the pages of daemons."""

    def folder(self, path: str) -> Folder:
        """Return a folder of configuration files."""

    def wall_time(self) -> float:
        """Return the wall clock, in seconds since 1970-01-01 UTC."""

    def monotonic(self) -> float:
        """Return the monotonic clock, in seconds."""

    def sleep(self, seconds: float) -> None:
        """Wait."""

    def token(self) -> str:
        """Return a word that was never returned before, here or elsewhere."""

    def write_file(self, path: str, text: str) -> None:
        """Write a text file."""


class SystemEnvironment:
    """The world that the installed command uses."""

    @contextmanager
    def store(self, address: str) -> Iterator[Store]:
        """Open the key-value service at ``IP:port``; raises `UsageError` if it is not one."""
        settings = StoreSettings(address=address, timeout_s=STORE_TIMEOUT_S)
        try:
            with open_store(settings) as store:
                yield store
        except PlatformError as exc:
            raise UsageError(message=f"--store {exc}", remedy="see --help") from exc

    def daemon_client(self, addresses: tuple[str, ...]) -> DaemonClient:
        """Return the pages of daemons."""
        return HttpDaemonClient(addresses)

    def folder(self, path: str) -> Folder:
        """Return a folder of configuration files."""
        return DiskFolder(path)

    def wall_time(self) -> float:
        """Return the wall clock, in seconds since 1970-01-01 UTC."""
        return time.time()

    def monotonic(self) -> float:
        """Return the monotonic clock, in seconds."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Wait."""
        time.sleep(seconds)

    def token(self) -> str:
        """Return a word that was never returned before, here or elsewhere."""
        return secrets.token_hex(TOKEN_BYTES)

    def write_file(self, path: str, text: str) -> None:
        """Write a text file; raises `UsageError` if that fails."""
        try:
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
        except OSError as exc:
            raise UsageError(message=str(exc), remedy="name a file that can be written") from exc
