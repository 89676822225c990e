"""A caller as the users' are: it caches look-ups, tries entry VMs in turn, and keeps its ids."""

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
LOOKUP_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 0.5
"""Time after the deadline for which an answer is waited for; seconds."""

PAUSE_S = 0.05
"""Pause before the look-up is asked again after every entry VM failed; seconds."""


class CallEnd(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The upstream's own answer is an error."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LOST = "lost"
    """No answer and no word came until after the deadline."""

    WRONG = "wrong"
    """The answer belongs to another request, or is not whole."""


class KeyKind(Enum):
    """Which idempotency key a request carries."""

    NONE = "none"
    ISSUED = "issued"
    """One that starts with the prefix which the look-up gave."""

    OWN = "own"
    """One of the caller's own making."""


class CallPlan(msgspec.Struct, frozen=True):
    """One request to be made.

    Parameters
    ----------
    client
        IP number that the look-up is asked for.
    key
        Its idempotency key.
    timeout_s
        Deadline, seconds from the start.
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
    """How a request ended, and where it was tried.

    Parameters
    ----------
    reason
        Reason that the problem document names; empty for none.
    send_count
        Entry VMs to which it was sent, or tried to be sent.
    latency_s
        Time from when it was due until its end; seconds.
    """

    plan: CallPlan
    end: CallEnd
    status: int = 0
    reason: str = ""
    send_count: int = 0
    latency_s: float = 0.0


class _Problem(msgspec.Struct):
    """What a caller reads of a problem document."""

    outcome: Outcome
    reason: str = ""


class Entry(msgspec.Struct):
    """What a caller reads of an entry VM in a look-up's answer."""

    http_address: str
    key_prefix: str = ""


class _Cached(msgspec.Struct, frozen=True):
    """A look-up's answer and when it ends; seconds, monotonic."""

    entries: tuple[Entry, ...]
    until: float


_entries_decoder = msgspec.json.Decoder(list[Entry])


class LookupCache:
    """Ask for entry VMs and cache the answers for as long as they allow.

    Parameters
    ----------
    seeds
        ``IP:port`` of some entry VMs, as operators hand them out.
    http
        Connections.
    rng
        Order in which the seeds are asked.
    """

    def __init__(
        self, *, seeds: tuple[str, ...], http: urllib3.PoolManager, rng: random.Random
    ) -> None:
        self._seeds = seeds
        self._http = http
        self._rng = rng
        self._lock = threading.Lock()
        self._cached: dict[tuple[str, str], _Cached] = {}
        self.asked = 0

    def entries(self, service: str, client: str) -> tuple[Entry, ...]:
        """Return the entry VMs for a client, best first; empty if nobody answers."""
        with self._lock:
            cached = self._cached.get((service, client))
        if cached is not None and time.monotonic() < cached.until:
            return cached.entries
        return self._ask(service, client)

    def forget(self, service: str, client: str) -> None:
        """Ask anew the next time."""
        with self._lock:
            self._cached.pop((service, client), None)

    def _ask(self, service: str, client: str) -> tuple[Entry, ...]:
        with self._lock:
            seeds = self._rng.sample(self._seeds, len(self._seeds))
        for seed in seeds:
            found = self._ask_one(seed, service, client)
            if found is not None and found.entries:
                with self._lock:
                    self._cached[service, client] = found
                return found.entries
        return ()

    def _ask_one(self, address: str, service: str, client: str) -> _Cached | None:
        self.asked += 1
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
        until = time.monotonic() + _max_age_s(resp.headers.get("Cache-Control", ""))
        return _Cached(tuple(entries), until)


class Caller:
    """Make requests through the entry VMs.

    Parameters
    ----------
    lookups
        Where the entry VMs are asked for.
    http
        Connections.
    """

    def __init__(self, *, lookups: LookupCache, http: urllib3.PoolManager) -> None:
        self._lookups = lookups
        self._http = http

    def call(self, plan: CallPlan, due: float) -> CallResult:
        """Make a request that was due at a time (monotonic seconds) and see it to its end."""
        return _Call(plan, due, self._lookups, self._http).run()


class _Call:
    """One request on its way."""

    def __init__(
        self, plan: CallPlan, due: float, lookups: LookupCache, http: urllib3.PoolManager
    ) -> None:
        self._plan = plan
        self._due = due
        self._deadline = time.monotonic() + plan.timeout_s
        self._lookups = lookups
        self._http = http
        self._copies = 0
        self._in_doubt = False
        self._key = plan.request_id if plan.key == KeyKind.OWN else ""
        self._may_repeat = plan.key != KeyKind.NONE or plan.method in ("GET", "HEAD")

    def run(self) -> CallResult:
        """Try the entry VMs until one gives an answer or a word, or the deadline passes."""
        plan = self._plan
        while (left_s := self._deadline - time.monotonic()) > 0:
            for entry in self._lookups.entries(plan.service, plan.client):
                result = self._attempt(entry)
                if result is not None:
                    return result
                if time.monotonic() >= self._deadline:
                    break
            self._lookups.forget(plan.service, plan.client)
            time.sleep(min(PAUSE_S, max(left_s, 0.0)))
        return self._result(CallEnd.UNKNOWN if self._in_doubt and self._key else CallEnd.LOST)

    def _attempt(self, entry: Entry) -> CallResult | None:
        """Send one copy; None if another entry VM may be tried."""
        self._copies += 1
        if self._plan.key == KeyKind.ISSUED and not self._key:
            self._key = f"{entry.key_prefix}{self._plan.request_id}"
        try:
            resp = self._send(entry.http_address)
        except (NewConnectionError, ConnectTimeoutError):
            self._drop_unsent_key()
            return None
        except (HTTPError, OSError):
            self._in_doubt = True
            return None if self._may_repeat else self._result(CallEnd.UNKNOWN)
        if resp.headers.get("Content-Type") == PROBLEM_TYPE:
            return self._problem(resp)
        return self._answered(resp)

    def _drop_unsent_key(self) -> None:
        """Take another issued key next, if no copy has left under this one."""
        if self._plan.key == KeyKind.ISSUED and not self._in_doubt:
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

    def _problem(self, resp: urllib3.BaseHTTPResponse) -> CallResult | None:
        problem = msgspec.json.decode(resp.data, type=_Problem)
        if problem.reason == RefusalReason.STOPPING.value:
            return None
        if problem.outcome == Outcome.NOT_RUN and not self._in_doubt:
            return self._result(CallEnd.NOT_RUN, resp.status, problem.reason)
        return self._result(CallEnd.UNKNOWN, resp.status, problem.reason)

    def _answered(self, resp: urllib3.BaseHTTPResponse) -> CallResult:
        if resp.status >= 400:
            return self._result(CallEnd.FAILED, resp.status)
        own = resp.data.startswith(f"{self._plan.request_id} ".encode())
        return self._result(CallEnd.ANSWERED if own else CallEnd.WRONG, resp.status)

    def _result(self, end: CallEnd, status: int = 0, reason: str = "") -> CallResult:
        latency_s = time.monotonic() - self._due
        return CallResult(self._plan, end, status, reason, self._copies, latency_s)


def _max_age_s(cache_control: str) -> float:
    for part in cache_control.split(","):
        name, _, value = part.strip().partition("=")
        if name == "max-age" and value.isdigit():
            return float(value)
    return 0.0
