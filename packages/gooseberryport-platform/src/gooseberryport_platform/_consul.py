"""The key-value service in the form of Consul's HTTP interface (``/v1/kv``)."""

from __future__ import annotations

import base64
import time
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from gooseberryport_core.events import StoreValue
from gooseberryport_core.types import Revision
from gooseberryport_platform._http import Answer, Call, HttpCaller
from gooseberryport_platform.calls import CallCounter, CallKind
from gooseberryport_platform.errors import (
    AnswerMalformedError,
    RequestRejectedError,
    ServiceError,
    ServiceFailedError,
)
from gooseberryport_platform.store import MAX_VALUE_BYTES, StoreSettings, SwapResult

INDEX_HEADER = "X-Consul-Index"
WAIT_JITTER_FRACTION = 1 / 16
"""Part of the wait that the service adds to a blocking query."""

NEXT_WAIT_S = 0.05
"""Pause after a wait that ended for another key, so that a busy service is not asked in a rush."""

MAX_ANSWER_BYTES = 64 * MAX_VALUE_BYTES
"""Longest answer to a listing."""

KEYS_PATH = "/v1/kv/"


class _Pair(msgspec.Struct, rename="pascal"):
    """One key as the service writes it; the value is in base64."""

    key: str
    modify_index: int
    value: str | None = None


class _Read(msgspec.Struct, frozen=True):
    """The answer to a read, with the index that a blocking query waits on."""

    values: tuple[StoreValue, ...]
    index: int


_pairs_decoder = msgspec.json.Decoder(list[_Pair])


class ConsulStore:
    """Call a service that speaks Consul's key-value interface.

    Parameters
    ----------
    settings
        Where it is.
    counter
        Counts every call.
    """

    def __init__(self, *, settings: StoreSettings, counter: CallCounter) -> None:
        self._settings = settings
        self._http = HttpCaller(
            address=settings.address,
            connections=settings.connections,
            max_answer_bytes=MAX_ANSWER_BYTES,
            counter=counter,
        )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def get(self, key: str) -> Result[StoreValue, ServiceError]:
        """Read a key."""
        return self._read(CallKind.GET, key).map(lambda read: _single(key, read))

    def list_prefix(self, prefix: str) -> Result[tuple[StoreValue, ...], ServiceError]:
        """Read every key that starts with a prefix."""
        return self._read(CallKind.LIST, prefix, "recurse=true").map(lambda read: read.values)

    def swap(self, key: str, value: bytes, expected: Revision) -> Result[SwapResult, ServiceError]:
        """Write a key if its revision is still `expected`, then read it."""
        if len(value) > MAX_VALUE_BYTES:
            detail = f"the value of {key} has {len(value)} bytes, more than {MAX_VALUE_BYTES}"
            return Failure(RequestRejectedError(address=self._http.address, detail=detail))
        target = f"{KEYS_PATH}{quote(key)}?cas={expected}"
        call = Call(CallKind.SWAP, "PUT", target, self._settings.timeout_s, value)
        return self._http.call(call).bind(self._applied).bind(lambda a: self._after(key, a))

    def watch(self, key: str, after: Revision, wait_s: float) -> Result[StoreValue, ServiceError]:
        """Wait until a key's revision differs from `after`, then read it.

        The service may wake for other keys, so it is asked again until this key has changed.
        """
        deadline = time.monotonic() + wait_s
        index = int(after)
        while True:
            left_s = max(deadline - time.monotonic(), 0.001)
            query = f"index={max(index, 1)}&wait={int(left_s * 1000) or 1}ms"
            result = self._read(CallKind.WATCH, key, query, left_s)
            if isinstance(result, Failure):
                return Failure(result.failure())
            read = result.unwrap()
            value = _single(key, read)
            if value.revision != after or time.monotonic() >= deadline:
                return Success(value)
            index = read.index if read.index >= index else 0
            time.sleep(min(NEXT_WAIT_S, left_s))

    def _read(
        self, kind: CallKind, key: str, query: str = "", wait_s: float = 0.0
    ) -> Result[_Read, ServiceError]:
        target = f"{KEYS_PATH}{quote(key)}" + (f"?{query}" if query else "")
        wait_s *= 1 + WAIT_JITTER_FRACTION
        call = Call(kind, "GET", target, self._settings.timeout_s + wait_s)
        attempts = 1 if wait_s else self._settings.read_attempts
        return self._http.call_with_retries(call, attempts=attempts).bind(self._values)

    def _values(self, answer: Answer) -> Result[_Read, ServiceError]:
        index = answer.headers.get(INDEX_HEADER, "")
        if answer.status == 404 and index.isdigit():
            return Success(_Read((), int(index)))
        if answer.status != 200:
            return Failure(self._refusal(answer))
        try:
            pairs = _pairs_decoder.decode(answer.body)
            values = tuple(sorted((_value(pair) for pair in pairs), key=lambda value: value.key))
            return Success(_Read(values, int(index)))
        except (msgspec.MsgspecError, ValueError) as exc:
            return Failure(AnswerMalformedError(address=self._http.address, detail=str(exc)))

    def _applied(self, answer: Answer) -> Result[bool, ServiceError]:
        if answer.status != 200:
            return Failure(self._refusal(answer))
        word = answer.body.strip()
        if word not in (b"true", b"false"):
            detail = "a write was answered by neither true nor false"
            return Failure(AnswerMalformedError(address=self._http.address, detail=detail))
        return Success(word == b"true")

    def _after(self, key: str, applied: bool) -> Result[SwapResult, ServiceError]:
        """Read a key that was written: the answer to a write does not tell its revision."""
        got = self.get(key)
        if isinstance(got, Failure) and applied:
            detail = f"{key} was written, but could not be read back"
            return Failure(ServiceFailedError(address=self._http.address, detail=detail))
        if isinstance(got, Failure):
            detail = f"{key} was not written, and could not be read"
            return Failure(RequestRejectedError(address=self._http.address, detail=detail))
        return Success(SwapResult(applied, got.unwrap()))

    def _refusal(self, answer: Answer) -> ServiceError:
        text = answer.body[:200].decode("utf-8", "replace").strip()
        detail = f"the service answered {answer.status} {text}".rstrip(" .")
        if 400 <= answer.status < 500:
            return RequestRejectedError(address=self._http.address, detail=detail)
        return ServiceFailedError(address=self._http.address, detail=detail)


def _value(pair: _Pair) -> StoreValue:
    value = base64.b64decode(pair.value or "", validate=True)
    return StoreValue(pair.key, value, Revision(pair.modify_index))


def _single(key: str, read: _Read) -> StoreValue:
    return read.values[0] if read.values else StoreValue(key, b"", Revision(0))
