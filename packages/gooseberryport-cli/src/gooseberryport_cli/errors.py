"""Errors of the command line; each message ends with what to do."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from gooseberryport_core.config_files import ConfigProblem
from gooseberryport_core.config_store import FileConflict
from gooseberryport_core.types import ConfigVersion
from gooseberryport_platform import ServiceError


class ExitCode(IntEnum):
    """Exit codes of every command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3


class CommandError(Exception):
    """Base class of the errors that end a command.

    Attributes
    ----------
    code
        Exit code of the command.
    """

    code = ExitCode.FAILED


class UsageError(CommandError):
    """The command was given an invalid argument or lacks a required one.

    Parameters
    ----------
    message, remedy
        What is wrong, and what to do.
    """

    code = ExitCode.USAGE

    def __init__(self, *, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}."


class CheckFailedError(CommandError):
    """The checked folder has errors, which have already been shown.

    Parameters
    ----------
    count
        Number of errors.
    """

    def __init__(self, *, count: int) -> None:
        super().__init__(count)
        self.count = count

    def __str__(self) -> str:
        return f"{self.count} error{_plural(self.count)}; fix each as its remedy says."


def _plural(count: int) -> str:
    return "" if count == 1 else "s"


class ConfigInvalidError(CommandError):
    """The configuration has errors.

    Parameters
    ----------
    problems
        The errors.
    """

    def __init__(self, *, problems: Iterable[ConfigProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__(self.problems)

    def __str__(self) -> str:
        lines = [str(problem) for problem in self.problems]
        head = f"{len(lines)} error{_plural(len(lines))}, nothing was published:"
        return "\n".join([head, *(f"  {line}" for line in lines)])


class EditConflictError(CommandError):
    """Other operators have changed the same files.

    Parameters
    ----------
    conflicts
        The files, with the authors and versions of the other changes.
    """

    code = ExitCode.CONFLICT

    def __init__(self, *, conflicts: Iterable[FileConflict]) -> None:
        self.conflicts = tuple(conflicts)
        super().__init__(self.conflicts)

    def __str__(self) -> str:
        lines = [_format_conflict(conflict) for conflict in self.conflicts]
        remedy = "See `gooseberryport show FILE`, merge the other edit into yours and run it again."
        return "\n".join(["others edited the same files, nothing was published:", *lines, remedy])


def _format_conflict(conflict: FileConflict) -> str:
    versions = ", ".join(str(version) for version in conflict.versions)
    return f"  {conflict.file}: changed by {', '.join(conflict.authors)} in version {versions}"


class BaseUnknownError(CommandError):
    """A folder differs from the newest version, and it is unknown which version it is based on.

    Parameters
    ----------
    files
        Files that differ.
    version
        The newest version.
    """

    code = ExitCode.CONFLICT

    def __init__(self, *, files: Iterable[str], version: ConfigVersion) -> None:
        self.files = tuple(files)
        self.version = version
        super().__init__(self.files, version)

    def __str__(self) -> str:
        return (
            f"{', '.join(self.files)} differ from version {self.version}, and the folder does not"
            " record which version it is based on; nothing was published.\n"
            "Give --base VERSION, or start from `gooseberryport show --save DIR`."
        )


class StoreError(CommandError):
    """A call to the key-value store failed.

    Parameters
    ----------
    cause
        The error of the call.
    """

    def __init__(self, *, cause: ServiceError) -> None:
        super().__init__(cause)
        self.cause = cause

    def __str__(self) -> str:
        return f"key-value store at {self.cause}"


class StoredValueInvalidError(CommandError):
    """A value in the key-value store is missing or cannot be decoded.

    Parameters
    ----------
    key, detail
        The key, and what is wrong with its value.
    """

    def __init__(self, *, key: str, detail: str) -> None:
        super().__init__(key, detail)
        self.key = key
        self.detail = detail

    def __str__(self) -> str:
        return f"key {self.key}: {self.detail}; publish the files again with `apply`."


class PublishContentionError(CommandError):
    """Others published versions during every attempt to publish.

    Parameters
    ----------
    attempts
        Number of attempts.
    """

    code = ExitCode.CONFLICT

    def __init__(self, *, attempts: int) -> None:
        super().__init__(attempts)
        self.attempts = attempts

    def __str__(self) -> str:
        return (
            f"others published during each of {self.attempts} attempts, nothing was published;"
            " run it again."
        )


class DaemonError(CommandError):
    """None of the given daemons answered.

    Parameters
    ----------
    failures
        The failure of each request, by address.
    """

    def __init__(self, *, failures: dict[str, str]) -> None:
        super().__init__(failures)
        self.failures = failures

    def __str__(self) -> str:
        lines = [f"  {address}: {failure}" for address, failure in self.failures.items()]
        remedy = "Check --daemon (or GOOSEBERRYPORT_DAEMON); it must be the HTTP port for callers."
        return "\n".join(["no daemon answered:", *lines, remedy])


class NotInForceError(CommandError):
    """A version was published, but was not in force in all daemons in time.

    Parameters
    ----------
    version
        The published version.
    missing
        VMs whose daemon does not have it in force, each with the version in force there.
    waited_s
        Time spent waiting; seconds.
    """

    def __init__(
        self, *, version: ConfigVersion, missing: dict[str, ConfigVersion], waited_s: float
    ) -> None:
        super().__init__(version, missing, waited_s)
        self.version = version
        self.missing = missing
        self.waited_s = waited_s

    def __str__(self) -> str:
        where = ", ".join(f"{vm} (has {version})" for vm, version in self.missing.items())
        return (
            f"version {self.version} is published, but after {self.waited_s:.0f} s not in force"
            f" in {where}; see `gooseberryport status`."
        )


class FolderError(CommandError):
    """A configuration folder could not be read or written.

    Parameters
    ----------
    path, detail
        The path, and the reason.
    """

    code = ExitCode.USAGE

    def __init__(self, *, path: str, detail: str) -> None:
        super().__init__(path, detail)
        self.path = path
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.path}: {self.detail}; give a folder with readable JSON files."
