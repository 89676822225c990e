"""Errors of the gateway and of its calls to upstreams and the store."""

from __future__ import annotations

from enum import Enum


class GatewayError(Exception):
    """Base of all errors of the gateway; the message says what is wrong and what to do."""


class NotSentError(GatewayError):
    """The request was not sent: no byte of it left this process."""


class LossCause(Enum):
    """What ended a connection before its response was complete."""

    CLOSED = "closed"
    """The server closed it."""

    RESET = "reset"
    """The server, or something on the way, reset it."""

    UNACKNOWLEDGED = "unacknowledged"
    """The server's host acknowledged neither bytes nor probes in time."""

    MALFORMED = "malformed"
    """What came is no response to the request, or exceeds a limit."""

    GIVEN_UP = "given-up"
    """This process closed it."""


class ResponseLostError(GatewayError):
    """Bytes of the request were sent, and no complete response was received.

    Parameters
    ----------
    reason
        Why there is no complete response.
    cause
        What ended the connection.
    """

    def __init__(self, reason: str, *, cause: LossCause = LossCause.MALFORMED) -> None:
        super().__init__(f"no complete response: {reason}; the request may have run")
        self.reason = reason
        self.cause = cause


class ResponseLimitError(ResponseLostError):
    """The server sent more than a response may contain; it is probably not sending one."""


class BodyTooLargeError(GatewayError):
    """The process's memory can't hold the body of a request; another gateway's may."""


class SettingsError(GatewayError):
    """The settings are invalid; the message names the field and what to do."""


class StoreError(GatewayError):
    """A call to the store failed.

    Parameters
    ----------
    reason
        Why the call failed.
    retry_after_s
        Delay before the next call that the store requested; seconds.
    """

    def __init__(self, reason: str, *, retry_after_s: float = 0.0) -> None:
        super().__init__(f"store call failed: {reason}")
        self.reason = reason
        self.retry_after_s = retry_after_s


class HistoryGoneError(StoreError):
    """The store no longer has the changes since a revision; read the range again."""

    def __init__(self) -> None:
        super().__init__("the changes since that revision were discarded; read the range again")


class IncompleteAnswerError(StoreError):
    """An answer arrived in part only; read the range again, whose answers are shorter.

    The same call would be answered with the same changes and more.
    """


class EpochChangedError(StoreError):
    """The store has returned from an older copy of its data; read the range again."""

    def __init__(self) -> None:
        super().__init__("the store returned from an older copy; read the range again")


class LeaseGoneError(StoreError):
    """The lease has expired or was ended; request a new one."""

    def __init__(self) -> None:
        super().__init__("the lease has expired or was ended; request a new one")
