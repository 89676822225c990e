"""The regions in which a request may run, by the configuration in force.

Failure pattern: operators move the homes of a route or a tenant while requests of it wait for a
connection or for another send. What a request was placed by is therefore compared with what is in
force before each send, and not only when it arrives.
"""

from __future__ import annotations

from gooseberryport_core.gateway.model import Route, Tenant
from gooseberryport_core.types import RegionName


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[RegionName] | None:
    """Return the regions in which a request may run; None for all, empty for none.

    Parameters
    ----------
    route, tenant
        The request's route, and its tenant if it has one. If both have homes, both bind.
    """
    of_route = route.allowed_regions
    of_tenant = tenant.allowed_regions if tenant is not None else frozenset()
    if not of_route or not of_tenant:
        return of_route or of_tenant or None
    return of_route & of_tenant
