"""Lookup of a request's route, and the choice among the route's weighted destinations."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from gooseberryport_core._hashing import hash_to_unit_interval
from gooseberryport_core.gateway.model import (
    Destination,
    ObjectKey,
    Route,
    RouteName,
    RoutingConfig,
)
from gooseberryport_core.gateway.shortage import Level, level_of
from gooseberryport_core.types import ServiceName

SHARE_TOLERANCE = 0.03
"""Excess of a destination's share over its weight from which other destinations are preferred."""

SHARE_WINDOW_REQUESTS = 200.0
"""Requests over which shares are averaged; older requests weigh exponentially less."""


class ObjectIdentity(msgspec.Struct, frozen=True):
    """How a request's object is identified among the objects of a service.

    Parameters
    ----------
    key
        Key by which the object is placed and recorded.
    earlier_key
        Key by which the same object may have been recorded before routes to the service were added
        or removed, or None.
    """

    key: ObjectKey
    earlier_key: ObjectKey | None = None


class RouteTable:
    """Finds routes by host and longest path prefix.

    Parameters
    ----------
    config
        Configuration that contains the routes.
    previous
        Table of the configuration that this one replaces, if any.
    """

    def __init__(self, config: RoutingConfig, *, previous: RouteTable | None = None) -> None:
        self.config = config
        self._hosts: dict[str, dict[str, Route]] = {}
        self._priorities = _priorities(config)
        self._routes_to: dict[ServiceName, list[Route]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
            for destination in route.destinations:
                self._routes_to.setdefault(destination.service, []).append(route)
        self._plain_key_route: dict[ServiceName, RouteName] = {}
        self._shared_services: set[ServiceName] = set()
        self._find_shared_services(previous)

    def _find_shared_services(self, previous: RouteTable | None) -> None:
        """Find the services of several routes with object affinity, and whose plain keys are known.

        The objects recorded by plain key are those of the route that was alone before. If this
        isn't known, the route with the largest part of its requests there is the likeliest.
        """
        shares: dict[ServiceName, dict[RouteName, float]] = {}
        for route in self.config.routes:
            total = sum(destination.weight for destination in route.destinations)
            for destination in route.destinations if route.object_affinity else ():
                routes = shares.setdefault(destination.service, {})
                share = destination.weight / total if total > 0.0 else 0.0
                routes[route.name] = routes.get(route.name, 0.0) + share
        for service, routes in shares.items():
            if len(routes) > 1:
                self._shared_services.add(service)
            known = previous._plain_key_route.get(service) if previous is not None else None
            if known is None or known not in routes:
                known = max(routes, key=routes.__getitem__)
            self._plain_key_route[service] = known

    def identify(self, *, route: Route, service: ServiceName, key: ObjectKey) -> ObjectIdentity:
        """Return how an object is identified among those of a service.

        Routes with equal keys have different objects. Where a service has one route with object
        affinity, its keys are used as they are.
        """
        named = ObjectKey(f"{route.name}\0{key}")
        if service not in self._shared_services:
            return ObjectIdentity(key=key, earlier_key=named)
        is_plain = self._plain_key_route.get(service) == route.name
        return ObjectIdentity(key=named, earlier_key=key if is_plain else None)

    def routes_to(self, service: ServiceName) -> Sequence[Route]:
        """Return the routes that lead to a service."""
        return self._routes_to.get(service, ())

    def level(self, *, service: ServiceName, priority: int) -> Level:
        """Return the level of a request's priority among those of its service.

        Parameters
        ----------
        service
            Service that handles the request.
        priority
            The request's priority: its tenant's, or else its route's.
        """
        return level_of(priority=priority, priorities=self._priorities.get(service, ()))

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


def _priorities(config: RoutingConfig) -> dict[ServiceName, tuple[int, ...]]:
    """Return the different priorities of each service's requests, ascending.

    A tenant's priority goes before its route's, so a route's priority counts only if it may get
    requests without a tenant, or of tenants without a priority.
    """
    given = {tenant.priority for tenant in config.tenants if tenant.api_keys}
    of_tenants = {priority for priority in given if priority is not None}
    found: dict[ServiceName, set[int]] = {}
    for route in config.routes:
        for destination in route.destinations:
            priorities = found.setdefault(destination.service, set(of_tenants))
            if route.public or not config.requires_keys or None in given:
                priorities.add(route.priority)
    return {service: tuple(sorted(priorities)) for service, priorities in found.items()}


class _SplitCounts(msgspec.Struct):
    """Recent requests per destination of a route, and the weights under which they were counted."""

    destinations: tuple[Destination, ...]
    counts: list[float]


class TrafficSplitter:
    """Chooses a route's destination so that objects keep theirs and the shares follow the weights.

    Load pattern: a route with two destinations and few objects. Hashing by object alone keeps
    upstreams warm, but with a few dozen objects of uneven popularity the shares miss the weights.
    Counting alone meets the weights, but spreads every object over both destinations.
    """

    def __init__(self) -> None:
        self._splits: dict[str, _SplitCounts] = {}

    def choose(self, *, route: Route, key: ObjectKey | None, draw: float) -> Destination:
        """Return the destination for a request, and count the request there.

        Parameters
        ----------
        route
            The request's route.
        key
            Object of the request, or None.
        draw
            Random number in [0, 1) that is used for requests without an object.
        """
        if len(route.destinations) == 1:
            return route.destinations[0]
        split = self._splits.get(route.name)
        if split is None or split.destinations != route.destinations:
            split = _SplitCounts(
                destinations=route.destinations, counts=[0.0] * len(route.destinations)
            )
            self._splits[route.name] = split
        total_weight = sum(destination.weight for destination in route.destinations)
        index = self._preferred(route=route, key=key, draw=draw, total_weight=total_weight)
        total = sum(split.counts) + 1.0
        excess = [
            (count + (1.0 if position == index else 0.0)) / total
            - destination.weight / total_weight
            for position, (count, destination) in enumerate(
                zip(split.counts, route.destinations, strict=True)
            )
        ]
        if excess[index] > SHARE_TOLERANCE + 1.0 / total:
            index = min(range(len(excess)), key=excess.__getitem__)
        split.counts = [count * (1.0 - 1.0 / SHARE_WINDOW_REQUESTS) for count in split.counts]
        split.counts[index] += 1.0
        return route.destinations[index]

    @staticmethod
    def _preferred(*, route: Route, key: ObjectKey | None, draw: float, total_weight: float) -> int:
        point = draw
        if key is not None:
            point = hash_to_unit_interval(f"{route.name}|{key}")
        cumulative_share = 0.0
        for index, destination in enumerate(route.destinations):
            cumulative_share += destination.weight / total_weight
            if point < cumulative_share:
                return index
        return len(route.destinations) - 1
