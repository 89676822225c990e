"""Errors that end the daemon; each message states its remedy."""

from __future__ import annotations


class DaemonError(Exception):
    """Base class of the errors that end a daemon.

    Parameters
    ----------
    subject
        File, field or address that the error concerns.
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

    remedy = "Choose a free port, or 0 for any, on an IP address of this machine."
