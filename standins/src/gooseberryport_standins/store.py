"""Stand-in for the key-value store: a subset of Consul's HTTP API, in memory."""

from __future__ import annotations

import base64
import threading
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from urllib.parse import unquote

import cappa
import msgspec

from gooseberryport_standins._command import Standin, StandinCommand
from gooseberryport_standins._server import Exchange, RestartableServer, open_server
from gooseberryport_standins.faults import FAULTS_PATH, STATS_PATH, Outage, StoreFaults

KEYS_PATH = "/v1/kv/"
MAX_VALUE_BYTES = 1_048_576
DEFAULT_WAIT_S = 300.0
MAX_HANG_S = 3_600.0


class _Pair(msgspec.Struct, frozen=True, rename="pascal"):
    """A key with its value, as Consul's API encodes it."""

    key: str
    value: str
    create_index: int
    modify_index: int
    lock_index: int = 0
    flags: int = 0


class StoreStats(msgspec.Struct):
    """Calls since the start; a blocking query counts as one.

    Parameters
    ----------
    applied
        Writes that took effect.
    """

    gets: int = 0
    lists: int = 0
    swaps: int = 0
    watches: int = 0
    applied: int = 0


class KeyValues:
    """Keys with their values and modify indexes, whose changes can be waited for."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._pairs: dict[str, _Pair] = {}
        self._index = 1

    def read(self, key: str, *, recurse: bool) -> tuple[list[_Pair], int]:
        """Return the pairs that match a query, and the query's index."""
        with self._changed:
            return self._read(key, recurse)

    def wait(
        self, key: str, *, recurse: bool, index: int, wait_s: float
    ) -> tuple[list[_Pair], int]:
        """Return as `read` does once the query's index exceeds `index`, or after `wait_s`."""
        with self._changed:
            self._changed.wait_for(lambda: self._read(key, recurse)[1] > index, wait_s)
            return self._read(key, recurse)

    def write(self, key: str, value: bytes, cas: int | None) -> bool:
        """Write a key, if its modify index still equals `cas`; return whether it was written."""
        with self._changed:
            current = self._pairs.get(key)
            if cas is not None and cas != (current.modify_index if current else 0):
                return False
            self._index += 1
            created = current.create_index if current else self._index
            encoded = base64.b64encode(value).decode()
            self._pairs[key] = _Pair(key, encoded, created, self._index)
            self._changed.notify_all()
            return True

    def _read(self, key: str, recurse: bool) -> tuple[list[_Pair], int]:
        if recurse:
            names = sorted(name for name in self._pairs if name.startswith(key))
            return [self._pairs[name] for name in names], self._index
        pair = self._pairs.get(key)
        return ([pair], pair.modify_index) if pair else ([], self._index)


class StoreStandin:
    """Answers requests as the key-value store would, with injected faults."""

    def __init__(self) -> None:
        self.values = KeyValues()
        self.stats = StoreStats()
        self._faults = StoreFaults()
        self._lock = threading.Lock()
        self.server: RestartableServer | None = None

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the injected faults by these."""
        with self._lock:
            self._faults = faults
        if self.server is None:
            return
        if faults.outage == Outage.REFUSE:
            self.server.close()
        else:
            self.server.open()

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.target == FAULTS_PATH:
            self.set_faults(msgspec.json.decode(exchange.body, type=StoreFaults))
            exchange.answer(200)
        elif exchange.target == STATS_PATH:
            exchange.answer_json(self.stats)
        elif not exchange.target.startswith(KEYS_PATH):
            exchange.answer(404)
        elif self._apply_faults(exchange):
            self._serve_key(exchange, unquote(exchange.target.removeprefix(KEYS_PATH)))

    def _apply_faults(self, exchange: Exchange) -> bool:
        """Apply the injected faults; return whether the request is still to be answered."""
        faults = self._faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.outage == Outage.HANG:
            exchange.wait_for_disconnect(MAX_HANG_S)
            exchange.drop_connection()
        elif faults.outage == Outage.ERROR:
            exchange.answer(503, b"out of order")
        return self._faults.outage == Outage.NONE and not exchange.close_connection

    def _serve_key(self, exchange: Exchange, key: str) -> None:
        if exchange.command == "PUT":
            self._write(exchange, key)
        elif exchange.command == "GET":
            self._read(exchange, key)
        else:
            exchange.answer(405)

    def _read(self, exchange: Exchange, key: str) -> None:
        recurse = "recurse" in exchange.query
        index = int(exchange.query.get("index") or 0)
        if index:
            self.stats.watches += 1
            wait_s = _parse_wait_s(exchange.query.get("wait", ""))
            pairs, now = self.values.wait(key, recurse=recurse, index=index, wait_s=wait_s)
        else:
            self.stats.lists += recurse
            self.stats.gets += not recurse
            pairs, now = self.values.read(key, recurse=recurse)
        headers = {"Content-Type": "application/json", "X-Consul-Index": str(now)}
        if self._faults.outage == Outage.NONE:
            body = msgspec.json.encode(pairs) if pairs else b""
            exchange.answer(200 if pairs else 404, body, headers)
        else:
            exchange.drop_connection()

    def _write(self, exchange: Exchange, key: str) -> None:
        self.stats.swaps += 1
        if len(exchange.body) > MAX_VALUE_BYTES:
            exchange.answer(413, b"value is too large")
            return
        cas = int(exchange.query["cas"]) if "cas" in exchange.query else None
        lost, late = self._take_write_fault(key)
        if late:
            delayed = threading.Timer(self._faults.late_s, self._apply, (key, exchange.body, cas))
            delayed.daemon = True
            delayed.start()
            exchange.drop_connection()
            return
        applied = self._apply(key, exchange.body, cas)
        if lost:
            exchange.drop_connection()
        else:
            exchange.answer(200, b"true" if applied else b"false")

    def _apply(self, key: str, value: bytes, cas: int | None) -> bool:
        applied = self.values.write(key, value, cas)
        self.stats.applied += applied
        return applied

    def _take_write_fault(self, key: str) -> tuple[bool, bool]:
        """Return whether this write's answer is lost, and whether the write takes effect late."""
        with self._lock:
            faults = self._faults
            if not key.startswith(faults.key_prefix):
                return False, False
            lost = faults.lose_answers > 0
            late = not lost and faults.late_writes > 0
            self._faults = msgspec.structs.replace(
                faults,
                lose_answers=faults.lose_answers - lost,
                late_writes=faults.late_writes - late,
            )
            return lost, late


@contextmanager
def open_store_standin(*, host: str = "127.0.0.1", port: int = 0) -> Iterator[StoreStandin]:
    """Run the stand-in in this process; its address is ``standin.server.address``."""
    standin = StoreStandin()
    with open_server(standin, host=host, port=port) as server:
        standin.server = server
        yield standin


def _parse_wait_s(wait: str) -> float:
    """Parse a duration such as ``250ms``, ``5s`` or ``2m``; return seconds."""
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if wait.endswith(unit):
            return float(wait.removesuffix(unit)) * factor
    return DEFAULT_WAIT_S


@dataclass
class StoreCommand(StandinCommand):
    """Run the stand-in for the key-value store."""

    def open(self) -> AbstractContextManager[Standin]:
        """Return the context manager that runs the stand-in."""
        return open_store_standin(host=self.host, port=self.port)


if __name__ == "__main__":
    cappa.invoke(StoreCommand)
