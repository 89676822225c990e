"""Client of a key-value store with Consul's HTTP interface (``/v1/kv``)."""

from __future__ import annotations

import base64
import time
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from gooseberryport_core.decoding import decode_with
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
"""Maximum jitter that the store adds to the wait of a blocking query, as a fraction of the wait."""

REQUERY_DELAY_S = 0.05
"""Delay before the next blocking query of a watch, which limits the query rate at a busy store
whose writes to other keys end the queries early."""

MAX_ANSWER_BYTES = 64 * MAX_VALUE_BYTES
"""Maximum length of the answer to a listing."""

KEYS_PATH = "/v1/kv/"


class _Pair(msgspec.Struct, rename="pascal"):
    """One key as the store encodes it; the value is in base64."""

    key: str
    modify_index: int
    value: str | None = None


class _ReadResult(msgspec.Struct, frozen=True):
    """The decoded answer to a read, with the index to which the next blocking query refers."""

    values: tuple[StoreValue, ...]
    index: int


_pairs_decoder = msgspec.json.Decoder(list[_Pair])


class ConsulStore:
    """Client of a store that implements Consul's key-value interface.

    Parameters
    ----------
    settings
        Address and limits of the store.
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
        return self._read(CallKind.GET, key).map(lambda read: _value_or_absent(key, read))

    def list_prefix(self, prefix: str) -> Result[tuple[StoreValue, ...], ServiceError]:
        """Read every key that starts with a prefix."""
        return self._read(CallKind.LIST, prefix, "recurse=true").map(lambda read: read.values)

    def swap(self, key: str, value: bytes, expected: Revision) -> Result[SwapResult, ServiceError]:
        """Write a key if its revision is still `expected`, then read the key."""
        if len(value) > MAX_VALUE_BYTES:
            detail = f"the value of {key} has {len(value)} bytes, more than {MAX_VALUE_BYTES}"
            return Failure(RequestRejectedError(address=self._http.address, detail=detail))
        target = f"{KEYS_PATH}{quote(key)}?cas={expected}"
        call = Call(CallKind.SWAP, "PUT", target, self._settings.timeout_s, value)
        return (
            self._http.call(call)
            .bind(self._decode_swap)
            .bind(lambda applied: self._read_back(key, applied))
        )

    def watch(self, key: str, after: Revision, wait_s: float) -> Result[StoreValue, ServiceError]:
        """Wait until a key's revision differs from `after`, then read it.

        The store may end a blocking query because another key changed, so the query is repeated
        until this key has changed or the wait is over.
        """
        deadline = time.monotonic() + wait_s
        index = int(after)
        while True:
            remaining_s = max(deadline - time.monotonic(), 0.001)
            query = f"index={max(index, 1)}&wait={int(remaining_s * 1000) or 1}ms"
            result = self._read(CallKind.WATCH, key, query, remaining_s)
            if isinstance(result, Failure):
                return Failure(result.failure())
            read = result.unwrap()
            value = _value_or_absent(key, read)
            if value.revision != after or time.monotonic() >= deadline:
                return Success(value)
            index = read.index if read.index >= index else 0
            time.sleep(min(REQUERY_DELAY_S, remaining_s))

    def _read(
        self, kind: CallKind, key: str, query: str = "", wait_s: float = 0.0
    ) -> Result[_ReadResult, ServiceError]:
        target = f"{KEYS_PATH}{quote(key)}" + (f"?{query}" if query else "")
        wait_s *= 1 + WAIT_JITTER_FRACTION
        call = Call(kind, "GET", target, self._settings.timeout_s + wait_s)
        attempts = 1 if wait_s else self._settings.read_attempts
        return self._http.call_with_retries(call, attempts=attempts).bind(self._decode_read)

    def _decode_read(self, answer: Answer) -> Result[_ReadResult, ServiceError]:
        index = answer.headers.get(INDEX_HEADER, "")
        if answer.status == 404 and index.isdigit():
            return Success(_ReadResult((), int(index)))
        if answer.status != 200:
            return Failure(self._status_error(answer))
        try:
            pairs = decode_with(_pairs_decoder.decode, answer.body)
            values = tuple(
                sorted((_to_store_value(pair) for pair in pairs), key=lambda value: value.key)
            )
            return Success(_ReadResult(values, int(index)))
        except ValueError as exc:
            return Failure(AnswerMalformedError(address=self._http.address, detail=str(exc)))

    def _decode_swap(self, answer: Answer) -> Result[bool, ServiceError]:
        if answer.status != 200:
            return Failure(self._status_error(answer))
        text = answer.body.strip()
        if text not in (b"true", b"false"):
            detail = "the answer to a write is neither true nor false"
            return Failure(AnswerMalformedError(address=self._http.address, detail=detail))
        return Success(text == b"true")

    def _read_back(self, key: str, applied: bool) -> Result[SwapResult, ServiceError]:
        """Read a key after a write, because the answer to a write does not contain the revision."""
        read_result = self.get(key)
        if isinstance(read_result, Failure) and applied:
            detail = f"{key} was written, but could not be read back"
            return Failure(ServiceFailedError(address=self._http.address, detail=detail))
        if isinstance(read_result, Failure):
            detail = f"{key} was not written, and could not be read"
            return Failure(RequestRejectedError(address=self._http.address, detail=detail))
        return Success(SwapResult(applied, read_result.unwrap()))

    def _status_error(self, answer: Answer) -> ServiceError:
        text = answer.body[:200].decode("utf-8", "replace").strip()
        detail = f"the store answered {answer.status} {text}".rstrip(" .")
        if 400 <= answer.status < 500:
            return RequestRejectedError(address=self._http.address, detail=detail)
        return ServiceFailedError(address=self._http.address, detail=detail)


def _to_store_value(pair: _Pair) -> StoreValue:
    value = base64.b64decode(pair.value or "", validate=True)
    return StoreValue(pair.key, value, Revision(pair.modify_index))


def _value_or_absent(key: str, read: _ReadResult) -> StoreValue:
    return read.values[0] if read.values else StoreValue(key, b"", Revision(0))
