"""Find the route of a request, and the destination among a route's weighted parts."""

from __future__ import annotations

import msgspec

from gooseberryport_core._hashing import hash_point
from gooseberryport_core.gateway.model import Destination, ObjectKey, Route, RoutingConfig
from gooseberryport_core.types import ServiceName

SHARE_TOLERANCE = 0.03
"""How far a part's share of the requests may lie over its weight before others are preferred."""

SHARE_MEMORY = 200.0
"""Requests over which a part's share is counted; older ones count for less."""


class RouteTable:
    """Find routes by host and longest path prefix.

    Parameters
    ----------
    config
        Configuration whose routes are searched.
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self._hosts: dict[str, dict[str, Route]] = {}
        self._most_urgent: dict[ServiceName, int] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
            for part in route.destinations:
                known = self._most_urgent.get(part.service, route.priority)
                self._most_urgent[part.service] = min(known, route.priority)

    def is_most_urgent(self, route: Route, service: ServiceName) -> bool:
        """Tell whether no other route to a service is more urgent."""
        return route.priority <= self._most_urgent.get(service, route.priority)

    def find(self, *, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if none matches.

        Parameters
        ----------
        host
            Value of the request's host header; a port is ignored.
        path
            Path without the query.
        """
        prefixes = self._hosts.get(host.lower().rpartition(":")[0] or host.lower())
        if prefixes is None:
            prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class _Shares(msgspec.Struct):
    """Requests that each part of a route got lately, with the weights they were counted under."""

    destinations: tuple[Destination, ...]
    counts: list[float]


class TrafficSplitter:
    """Choose a route's part so that objects stay where they are and shares follow the weights.

    Load pattern: a route with two destinations and few objects. A hash of the object alone keeps
    upstreams warm, but some dozens of objects of uneven use miss the weights; counting alone meets
    the weights, but spreads every object over both destinations.
    """

    def __init__(self) -> None:
        self._shares: dict[str, _Shares] = {}

    def choose(self, *, route: Route, key: ObjectKey | None, draw: float) -> Destination:
        """Return the part that serves a request, and count the request there.

        Parameters
        ----------
        route
            The request's route.
        key
            Object of the request.
        draw
            Random number in [0, 1) for requests without an object.
        """
        if len(route.destinations) == 1:
            return route.destinations[0]
        shares = self._shares.get(route.name)
        if shares is None or shares.destinations != route.destinations:
            shares = _Shares(
                destinations=route.destinations, counts=[0.0] * len(route.destinations)
            )
            self._shares[route.name] = shares
        weight = sum(part.weight for part in route.destinations)
        index = self._preferred(route=route, key=key, draw=draw, weight=weight)
        total = sum(shares.counts) + 1.0
        excess = [
            (count + (1.0 if place == index else 0.0)) / total - part.weight / weight
            for place, (count, part) in enumerate(
                zip(shares.counts, route.destinations, strict=True)
            )
        ]
        if excess[index] > SHARE_TOLERANCE + 1.0 / total:
            index = min(range(len(excess)), key=excess.__getitem__)
        shares.counts = [count * (1.0 - 1.0 / SHARE_MEMORY) for count in shares.counts]
        shares.counts[index] += 1.0
        return route.destinations[index]

    @staticmethod
    def _preferred(*, route: Route, key: ObjectKey | None, draw: float, weight: float) -> int:
        point = draw
        if key is not None:
            point = hash_point(f"{route.name}|{key}")
        bound = 0.0
        for index, part in enumerate(route.destinations):
            bound += part.weight / weight
            if point < bound:
                return index
        return len(route.destinations) - 1
