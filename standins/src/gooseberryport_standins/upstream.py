"""Stand-ins for upstreams, each with its own slots, service time, load report and faults."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from gooseberryport_standins._process import Ready, print_ready_line, wait_for_stop
from gooseberryport_standins._server import Exchange, open_server
from gooseberryport_standins._upstream import (
    Distribution,
    Run,
    RunEnd,
    UpstreamSpec,
    UpstreamStandin,
    UpstreamStats,
)
from gooseberryport_standins.faults import FAULTS_PATH, STATS_PATH, UpstreamFaults

__all__ = [
    "RUNS_PATH",
    "Fleet",
    "Run",
    "RunEnd",
    "Distribution",
    "UpstreamSpec",
    "UpstreamStandin",
    "UpstreamStats",
    "open_fleet",
]

RUNS_PATH = "/_runs"


class Fleet:
    """Several upstreams in one process, with one control server for all.

    Parameters
    ----------
    upstreams
        The upstreams by name.
    """

    def __init__(self, upstreams: dict[str, UpstreamStandin]) -> None:
        self.upstreams = upstreams

    @property
    def addresses(self) -> dict[str, str]:
        """``IP:port`` of each upstream, by name."""
        return {name: upstream.address for name, upstream in self.upstreams.items()}

    def stats(self) -> list[UpstreamStats]:
        """Return the counts of every upstream."""
        return [upstream.stats() for upstream in self.upstreams.values()]

    def runs(self) -> list[Run]:
        """Return the runs of all requests that were started at any upstream."""
        return [run for upstream in self.upstreams.values() for run in upstream.runs()]

    def serve(self, exchange: Exchange) -> None:
        """Answer a control request; ``?upstream=`` names the upstream whose faults are set."""
        if exchange.target == STATS_PATH:
            exchange.answer_json(self.stats())
        elif exchange.target == RUNS_PATH:
            exchange.answer_json(self.runs())
        elif exchange.target == FAULTS_PATH and self._set_faults(exchange):
            exchange.answer(200)
        else:
            exchange.answer(404)

    def _set_faults(self, exchange: Exchange) -> bool:
        upstream = self.upstreams.get(exchange.query.get("upstream", ""))
        if upstream is None:
            return False
        upstream.set_faults(msgspec.json.decode(exchange.body, type=UpstreamFaults))
        return True


@contextmanager
def open_fleet(specs: tuple[UpstreamSpec, ...]) -> Iterator[Fleet]:
    """Run upstreams in this process until the context exits."""
    with ExitStack() as stack:
        upstreams: dict[str, UpstreamStandin] = {}
        for spec in specs:
            upstream = UpstreamStandin(spec)
            upstream.server = stack.enter_context(open_server(upstream, host=spec.host))
            upstreams[spec.name] = upstream
        yield Fleet(upstreams)


@dataclass
class UpstreamsCommand:
    """Run stand-ins for upstreams.

    Parameters
    ----------
    specs
        JSON list of `UpstreamSpec`.
    host
        Address on which the control server listens.
    """

    specs: Annotated[str, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"

    def __call__(self) -> None:
        """Run until SIGTERM."""
        specs = msgspec.json.decode(self.specs, type=tuple[UpstreamSpec, ...])
        with open_fleet(specs) as fleet, open_server(fleet, host=self.host) as control:
            print_ready_line(Ready(control.address, control.address, fleet.addresses))
            wait_for_stop()


if __name__ == "__main__":
    cappa.invoke(UpstreamsCommand)
