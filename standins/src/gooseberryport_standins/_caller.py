"""A client program like the users' own.

It caches look-ups, tries entry VMs in turn, and keeps its request ids across retries.
"""

from __future__ import annotations

import random
import threading
import time
from enum import Enum

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from gooseberryport_core.types import Outcome, RefusalReason
from gooseberryport_standins._upstream import KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER

PROBLEM_TYPE = "application/problem+json"
NOT_RUN_HEADER = "X-Not-Run"
"""Field of a daemon's own document; an upstream's may have any content."""
LOOKUP_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 0.5
"""Time after the deadline during which an answer is still accepted; seconds."""

LOOKUP_RETRY_DELAY_S = 0.05
"""Delay before the look-up is repeated after every entry VM failed; seconds."""


class CallEnd(Enum):
    """How a request ended, as seen by its caller."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The upstream itself answered with an error."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LOST = "lost"
    """Neither an answer nor a problem document was received by the deadline."""

    WRONG = "wrong"
    """The answer belongs to another request or is incomplete."""


class KeyKind(Enum):
    """Which kind of idempotency key a request carries."""

    NONE = "none"
    ISSUED = "issued"
    """A key that starts with the prefix from the look-up's answer."""

    OWN = "own"
    """A key that the caller chose itself."""


class CallPlan(msgspec.Struct, frozen=True):
    """One request to send.

    Parameters
    ----------
    client
        Client IP address for which entry VMs are looked up.
    key
        Kind of idempotency key that it carries.
    timeout_s
        Deadline; seconds from the start.
    """

    request_id: str
    service: str
    client: str
    method: str
    path: str
    timeout_s: float
    key: KeyKind = KeyKind.NONE
    body: bytes = b""


class CallResult(msgspec.Struct, frozen=True):
    """How a request ended, and how often it was sent.

    Parameters
    ----------
    reason
        Reason given in the problem document; empty for none.
    entries_tried
        Number of times that it was sent, or tried to be sent, to an entry VM.
    latency_s
        Time from when it was due to when it ended; seconds.
    """

    plan: CallPlan
    end: CallEnd
    status: int = 0
    reason: str = ""
    send_count: int = 0
    latency_s: float = 0.0


class _Problem(msgspec.Struct):
    """Fields of a problem document that a caller reads."""

    outcome: Outcome
    reason: str = ""


class EntryVm(msgspec.Struct):
    """Fields of an entry VM in a look-up's answer that a caller reads."""

    http_address: str
    key_prefix: str = ""


class _CachedLookup(msgspec.Struct, frozen=True):
    """A look-up's answer and when it expires; seconds, monotonic."""

    entries: tuple[EntryVm, ...]
    expires_at: float


_entries_decoder = msgspec.json.Decoder(list[EntryVm])


class LookupCache:
    """Look up entry VMs and cache each answer for as long as its ``max-age`` allows.

    Parameters
    ----------
    seeds
        ``IP:port`` of some entry VMs, as published by operators.
    http
        Connection pool.
    rng
        Source of the random order in which the seeds are queried.
    """

    def __init__(
        self, *, seeds: tuple[str, ...], http: urllib3.PoolManager, rng: random.Random
    ) -> None:
        self._seeds = seeds
        self._http = http
        self._rng = rng
        self._lock = threading.Lock()
        self._cached: dict[tuple[str, str], _CachedLookup] = {}
        self.requests_sent = 0

    def entries(self, service: str, client: str) -> tuple[EntryVm, ...]:
        """Return the entry VMs for a client, best first; empty if no seed answers."""
        with self._lock:
            cached = self._cached.get((service, client))
        if cached is not None and time.monotonic() < cached.expires_at:
            return cached.entries
        return self._query_seeds(service, client)

    def forget(self, service: str, client: str) -> None:
        """Remove a cached answer, so that the next call queries the seeds again."""
        with self._lock:
            self._cached.pop((service, client), None)

    def _query_seeds(self, service: str, client: str) -> tuple[EntryVm, ...]:
        with self._lock:
            seeds = self._rng.sample(self._seeds, len(self._seeds))
        for seed in seeds:
            lookup = self._query_entry(seed, service, client)
            if lookup is not None and lookup.entries:
                with self._lock:
                    self._cached[service, client] = lookup
                return lookup.entries
        return ()

    def _query_entry(self, address: str, service: str, client: str) -> _CachedLookup | None:
        self.requests_sent += 1
        try:
            resp = self._http.request(
                "GET",
                f"http://{address}/v1/lookup",
                fields={"service": service, "client": client},
                timeout=LOOKUP_TIMEOUT_S,
                retries=False,
            )
            if resp.status != 200:
                return None
            entries = _entries_decoder.decode(resp.data)
        except (HTTPError, OSError, msgspec.MsgspecError):
            return None
        expires_at = time.monotonic() + _max_age_s(resp.headers.get("Cache-Control", ""))
        return _CachedLookup(tuple(entries), expires_at)


class Caller:
    """Send requests through the entry VMs.

    Parameters
    ----------
    lookups
        Cached look-ups of entry VMs.
    http
        Connection pool.
    """

    def __init__(self, *, lookups: LookupCache, http: urllib3.PoolManager) -> None:
        self._lookups = lookups
        self._http = http

    def call(self, plan: CallPlan, due: float) -> CallResult:
        """Send a request, due at `due` (monotonic seconds), and return how it ended; blocks."""
        return _Call(plan, due, self._lookups, self._http).run()


class _Call:
    """A request in flight."""

    def __init__(
        self, plan: CallPlan, due: float, lookups: LookupCache, http: urllib3.PoolManager
    ) -> None:
        self._plan = plan
        self._due = due
        self._deadline = time.monotonic() + plan.timeout_s
        self._lookups = lookups
        self._http = http
        self._send_count = 0
        self._may_have_run = False
        self._key = plan.request_id if plan.key == KeyKind.OWN else ""
        self._can_retry = plan.key != KeyKind.NONE or plan.method in ("GET", "HEAD")

    def run(self) -> CallResult:
        """Try the entry VMs until one returns an answer or a refusal, or the deadline passes."""
        plan = self._plan
        while (left_s := self._deadline - time.monotonic()) > 0:
            for entry in self._lookups.entries(plan.service, plan.client):
                result = self._attempt(entry)
                if result is not None:
                    return result
                if time.monotonic() >= self._deadline:
                    break
            self._lookups.forget(plan.service, plan.client)
            time.sleep(min(LOOKUP_RETRY_DELAY_S, max(left_s, 0.0)))
        return self._result(CallEnd.UNKNOWN if self._may_have_run and self._key else CallEnd.LOST)

    def _attempt(self, entry: EntryVm) -> CallResult | None:
        """Send the request to one entry VM; return None if another may be tried."""
        self._send_count += 1
        if self._plan.key == KeyKind.ISSUED and not self._key:
            self._key = f"{entry.key_prefix}{self._plan.request_id}"
        try:
            resp = self._send(entry.http_address)
        except (NewConnectionError, ConnectTimeoutError):
            self._discard_unsent_key()
            return None
        except (HTTPError, OSError):
            self._may_have_run = True
            return None if self._can_retry else self._result(CallEnd.UNKNOWN)
        if resp.headers.get("Content-Type") == PROBLEM_TYPE:
            return self._handle_problem(resp)
        return self._handle_answer(resp)

    def _discard_unsent_key(self) -> None:
        """Discard an issued key under which nothing was sent, so that a new one is used."""
        if self._plan.key == KeyKind.ISSUED and not self._may_have_run:
            self._key = ""

    def _send(self, address: str) -> urllib3.BaseHTTPResponse:
        plan = self._plan
        left_s = max(self._deadline - time.monotonic(), 0.001)
        headers = {REQUEST_ID_HEADER: plan.request_id, TIMEOUT_HEADER: f"{left_s:.3f}"}
        if self._key:
            headers[KEY_HEADER] = self._key
        return self._http.request(
            plan.method,
            f"http://{address}/{plan.service}/{plan.path}",
            body=plan.body or None,
            headers=headers,
            timeout=urllib3.Timeout(total=left_s + ANSWER_GRACE_S),
            retries=False,
        )

    def _handle_problem(self, resp: urllib3.BaseHTTPResponse) -> CallResult | None:
        problem = msgspec.json.decode(resp.data, type=_Problem)
        if problem.outcome == Outcome.NOT_RUN and resp.headers.get(NOT_RUN_HEADER) != "1":
            return self._handle_answer(resp)
        if problem.reason == RefusalReason.STOPPING.value:
            return None
        if problem.outcome == Outcome.NOT_RUN and not self._may_have_run:
            return self._result(CallEnd.NOT_RUN, resp.status, problem.reason)
        return self._result(CallEnd.UNKNOWN, resp.status, problem.reason)

    def _handle_answer(self, resp: urllib3.BaseHTTPResponse) -> CallResult:
        if resp.status >= 400:
            return self._result(CallEnd.FAILED, resp.status)
        is_own_answer = resp.data.startswith(f"{self._plan.request_id} ".encode())
        return self._result(CallEnd.ANSWERED if is_own_answer else CallEnd.WRONG, resp.status)

    def _result(self, end: CallEnd, status: int = 0, reason: str = "") -> CallResult:
        latency_s = time.monotonic() - self._due
        return CallResult(self._plan, end, status, reason, self._send_count, latency_s)


def _max_age_s(cache_control: str) -> float:
    for part in cache_control.split(","):
        name, _, value = part.strip().partition("=")
        if name == "max-age" and value.isdigit():
            return float(value)
    return 0.0
