"""HTTP calls limited in time and size; an error tells whether the call may have had an effect."""

from __future__ import annotations

import ipaddress
import time
from collections.abc import Callable, Mapping

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from tenacity import (
    RetryCallState,
    Retrying,
    retry_if_result,
    stop_after_attempt,
    stop_after_delay,
    wait_random_exponential,
)
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
)

from gooseberryport_platform.bounded_http import BoundedConnection
from gooseberryport_platform.calls import CallCounter, CallKind, CallOutcome, CallRecord
from gooseberryport_platform.errors import (
    AddressInvalidError,
    AnswerLostError,
    AnswerTooLargeError,
    ServiceError,
    ServiceUnreachableError,
)

READ_CHUNK_BYTES = 65_536
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class Answer(msgspec.Struct, frozen=True):
    """A complete HTTP answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Call(msgspec.Struct, frozen=True):
    """One HTTP call.

    Parameters
    ----------
    timeout_s
        Time within which the complete answer must be received; seconds.
    """

    kind: CallKind
    method: str
    target: str
    timeout_s: float
    body: bytes | None = None


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:port``; raises `AddressInvalidError`."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError:
        raise AddressInvalidError(address=address, detail="not an IP address and a port") from None
    if not 0 < port_number < 65_536:
        raise AddressInvalidError(address=address, detail="the port is out of range")
    return host, port_number


class HttpCaller:
    """Make calls to one service over a pool of persistent connections.

    Parameters
    ----------
    address
        ``IP:port`` of the service.
    connections
        Maximum number of connections kept open.
    max_answer_bytes
        Maximum length of an accepted answer.
    counter
        Counts every call.
    """

    def __init__(
        self,
        *,
        address: str,
        connections: int,
        max_answer_bytes: int,
        counter: CallCounter,
    ) -> None:
        host, port = parse_address(address)
        self.address = address
        self._max_answer_bytes = max_answer_bytes
        self._counter = counter
        self._pool = urllib3.HTTPConnectionPool(host, port, maxsize=connections, retries=False)
        self._pool.ConnectionCls = BoundedConnection

    def call(self, call: Call) -> Result[Answer, ServiceError]:
        """Make one call; it returns within about its timeout, whatever the service does."""
        started = time.monotonic()
        result = self._send(call, started + call.timeout_s)
        duration_s = time.monotonic() - started
        self._counter.record(CallRecord(call.kind, _outcome_of(result), duration_s))
        return result

    def call_with_retries(self, call: Call, *, attempts: int) -> Result[Answer, ServiceError]:
        """Make a call without side effects, and retry it with backoff after a transient failure.

        All attempts together end within about the call's timeout.
        """
        deadline = time.monotonic() + call.timeout_s

        def attempt() -> Result[Answer, ServiceError]:
            remaining_s = max(deadline - time.monotonic(), 0.001)
            return self.call(msgspec.structs.replace(call, timeout_s=remaining_s))

        return _retrying(attempts, call.timeout_s)(attempt)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _send(self, call: Call, deadline: float) -> Result[Answer, ServiceError]:
        timeout = urllib3.Timeout(total=call.timeout_s)
        try:
            resp = self._pool.urlopen(
                call.method,
                call.target,
                body=call.body,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError, LocationValueError) as exc:
            return Failure(ServiceUnreachableError(address=self.address, detail=_describe(exc)))
        except (HTTPError, OSError) as exc:
            return Failure(AnswerLostError(address=self.address, detail=_describe(exc)))
        return self._read(resp, deadline)

    def _read(
        self, resp: urllib3.BaseHTTPResponse, deadline: float
    ) -> Result[Answer, ServiceError]:
        chunks: list[bytes] = []
        size = 0
        try:
            while chunk := resp.read1(READ_CHUNK_BYTES):
                size += len(chunk)
                chunks.append(chunk)
                if size > self._max_answer_bytes:
                    resp.close()
                    detail = f"the answer is longer than {self._max_answer_bytes} bytes"
                    return Failure(AnswerTooLargeError(address=self.address, detail=detail))
                if time.monotonic() > deadline:
                    resp.close()
                    return Failure(
                        AnswerLostError(
                            address=self.address, detail="the answer took longer than the timeout"
                        )
                    )
        except (HTTPError, OSError) as exc:
            resp.close()
            return Failure(AnswerLostError(address=self.address, detail=_describe(exc)))
        resp.release_conn()
        return Success(Answer(resp.status, resp.headers, b"".join(chunks)))


def _retrying(attempts: int, timeout_s: float) -> Retrying:
    return Retrying(
        retry=retry_if_result(_should_retry),
        stop=stop_after_attempt(attempts) | stop_after_delay(timeout_s),
        wait=wait_random_exponential(multiplier=INITIAL_BACKOFF_S, max=MAX_BACKOFF_S),
        retry_error_callback=_last_result,
    )


def _should_retry(result: Result[Answer, ServiceError]) -> bool:
    if isinstance(result, Failure):
        return bool(result.failure().retryable)
    return bool(result.unwrap().status >= 500)


def _last_result(state: RetryCallState) -> Result[Answer, ServiceError]:
    assert state.outcome is not None
    last: Result[Answer, ServiceError] = state.outcome.result()
    return last


def _outcome_of(result: Result[Answer, ServiceError]) -> CallOutcome:
    if isinstance(result, Failure):
        return CallOutcome.AMBIGUOUS if result.failure().ambiguous else CallOutcome.FAILED
    return CallOutcome.DONE if result.unwrap().status < 500 else CallOutcome.AMBIGUOUS


def _describe(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}".rstrip(".")


Clock = Callable[[], float]
"""Function that returns the wall-clock time in seconds since 1970-01-01 UTC."""
