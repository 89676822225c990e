"""Errors of the daemon; each message says what to do about it."""

from __future__ import annotations


class DaemonError(Exception):
    """Base of the errors that end a daemon.

    Parameters
    ----------
    subject
        What the error is about: a file, a field or an address.
    detail
        What went wrong.
    """

    remedy = "Look at the log."

    def __init__(self, *, subject: str, detail: str) -> None:
        super().__init__(subject, detail)
        self.subject = subject
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.subject}: {self.detail}. {self.remedy}"


class SettingsUnreadableError(DaemonError):
    """The settings file can't be read."""

    remedy = "Check the path and the permissions of the settings file."


class SettingsInvalidError(DaemonError):
    """A field of the settings is missing, unknown or out of range."""

    remedy = "Correct the field; docs/operators/daemon.md lists them all."


class AddressInUseError(DaemonError):
    """An address to listen on can't be bound."""

    remedy = "Choose a free port, or 0 for any, on an IP number of this machine."
