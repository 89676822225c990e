"""Errors of the command line; each renders its own message, with the remedy."""

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
    """Base of the errors that end a command.

    Attributes
    ----------
    code
        Exit code of the command.
    """

    code = ExitCode.FAILED


class UsageError(CommandError):
    """The command was given something that it can't work with.

    Parameters
    ----------
    message, remedy
        What is wrong, and what mends it.
    """

    code = ExitCode.USAGE

    def __init__(self, *, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}."


class CheckFailedError(CommandError):
    """A folder that was only to be checked has errors, which were shown.

    Parameters
    ----------
    count
        How many.
    """

    def __init__(self, *, count: int) -> None:
        super().__init__(count)
        self.count = count

    def __str__(self) -> str:
        return f"{self.count} error{_plural(self.count)}; mend each as its remedy says."


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
    """Other operators changed the same files.

    Parameters
    ----------
    conflicts
        The files, with who changed them.
    """

    code = ExitCode.CONFLICT

    def __init__(self, *, conflicts: Iterable[FileConflict]) -> None:
        self.conflicts = tuple(conflicts)
        super().__init__(self.conflicts)

    def __str__(self) -> str:
        lines = [_describe(conflict) for conflict in self.conflicts]
        remedy = "Look at `gooseberryport show FILE`, take their edit into yours, run it again."
        return "\n".join(["edits of the same files, nothing was published:", *lines, remedy])


def _describe(conflict: FileConflict) -> str:
    versions = ", ".join(str(version) for version in conflict.versions)
    return f"  {conflict.file}: changed by {', '.join(conflict.authors)} in version {versions}"


class BaseUnknownError(CommandError):
    """A folder differs from what is published, and nobody knows which of the two is newer.

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
            " tell which version it was made from, nothing was published.\n"
            "Give --base VERSION, or start from `gooseberryport show --save DIR`."
        )


class StoreError(CommandError):
    """The key-value service could not be used.

    Parameters
    ----------
    cause
        The error of the call.
    """

    def __init__(self, *, cause: ServiceError) -> None:
        super().__init__(cause)
        self.cause = cause

    def __str__(self) -> str:
        return f"key-value service at {self.cause}"


class StoredValueInvalidError(CommandError):
    """A value in the key-value service can't be read.

    Parameters
    ----------
    key, detail
        Which value, and what is wrong with it.
    """

    def __init__(self, *, key: str, detail: str) -> None:
        super().__init__(key, detail)
        self.key = key
        self.detail = detail

    def __str__(self) -> str:
        return f"key {self.key}: {self.detail}; publish the files again with `apply`."


class PublishContentionError(CommandError):
    """Others published again and again while this command tried to.

    Parameters
    ----------
    attempts
        How often it tried.
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
    """No daemon that was named answered.

    Parameters
    ----------
    failures
        What went wrong, by address.
    """

    def __init__(self, *, failures: dict[str, str]) -> None:
        super().__init__(failures)
        self.failures = failures

    def __str__(self) -> str:
        lines = [f"  {address}: {failure}" for address, failure in self.failures.items()]
        remedy = "Check --daemon (or GOOSEBERRYPORT_DAEMON); it names the callers' port."
        return "\n".join(["no daemon answered:", *lines, remedy])


class NotInForceError(CommandError):
    """A version was published, and some daemons do not have it in force in time.

    Parameters
    ----------
    version
        The version.
    missing
        Daemons without it, each with the version in force there.
    waited_s
        Time that was waited; seconds.
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
            f" in {where}; look at `gooseberryport status`."
        )


class FolderError(CommandError):
    """A configuration folder could not be read or written.

    Parameters
    ----------
    path, detail
        Which, and why.
    """

    code = ExitCode.USAGE

    def __init__(self, *, path: str, detail: str) -> None:
        super().__init__(path, detail)
        self.path = path
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.path}: {self.detail}; name a folder of JSON files that can be read."
