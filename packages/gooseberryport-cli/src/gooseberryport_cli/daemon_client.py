"""HTTP client of the daemons' pages for operators."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol, TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3

from gooseberryport_cli.errors import DaemonError
from gooseberryport_core.decoding import InputError, decode_json
from gooseberryport_core.status import Explanation, StatusPage

REQUEST_TIMEOUT_S = 2.0

Page = TypeVar("Page")


class DaemonClient(Protocol):
    """Client of the first daemon that answers."""

    def status(self) -> StatusPage:
        """Return a daemon's view of the system; raises `DaemonError`."""

    def explain(self, service: str, client: str) -> Explanation:
        """Return how a daemon would steer a client's request; raises `DaemonError`."""

    def status_pages(self, addresses: Iterable[str]) -> tuple[StatusPage, ...]:
        """Return the status pages of the daemons that answer; others are skipped."""


class HttpDaemonClient:
    """Client that tries the daemons at the given addresses in order until one answers.

    Parameters
    ----------
    addresses
        ``IP:port`` of the daemons' HTTP ports for callers.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=REQUEST_TIMEOUT_S, read=REQUEST_TIMEOUT_S),
            retries=False,
        )

    def status(self) -> StatusPage:
        """Return a daemon's view of the system; raises `DaemonError`."""
        return self._get("/status", StatusPage)

    def explain(self, service: str, client: str) -> Explanation:
        """Return how a daemon would steer a client's request; raises `DaemonError`."""
        query = urlencode({"service": service, "client": client})
        return self._get(f"/explain?{query}", Explanation)

    def status_pages(self, addresses: Iterable[str]) -> tuple[StatusPage, ...]:
        """Return the status pages of the daemons that answer; others are skipped."""
        found: list[StatusPage] = []
        for address in addresses:
            with suppress(DaemonError):
                found.append(HttpDaemonClient((address,)).status())
        return tuple(found)

    def _get(self, path: str, page_type: type[Page]) -> Page:
        failures: dict[str, str] = {}
        for address in self._addresses:
            try:
                resp = self._http.request("GET", f"http://{address}{path}")
                if resp.status == 200:
                    return decode_json(resp.data, expected_type=page_type)
                failures[address] = f"status {resp.status}"
            except (urllib3.exceptions.HTTPError, InputError) as exc:
                failures[address] = str(exc)
        raise DaemonError(failures=failures)


def with_total_link_usage(page: StatusPage, pages: Iterable[StatusPage]) -> StatusPage:
    """Return a status page whose link usage is the sum over the pages of all daemons."""
    used: dict[str, float] = {}
    for daemon_page in pages:
        for link in daemon_page.links:
            used[link.name] = used.get(link.name, 0.0) + max(link.used_mbit_s, 0.0)
    links = tuple(
        msgspec.structs.replace(link, used_mbit_s=used[link.name]) if link.name in used else link
        for link in page.links
    )
    return msgspec.structs.replace(page, links=links)
