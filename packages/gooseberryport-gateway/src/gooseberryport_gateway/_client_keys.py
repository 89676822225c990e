"""Check of clients' API keys before a request is placed."""

from __future__ import annotations

from gooseberryport_core.gateway.model import Route, Tenant
from gooseberryport_core.gateway.tenants import KeyRejection
from gooseberryport_gateway._client_messages import ClientRequest, Reply
from gooseberryport_gateway._replies import Replies
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.wire import HeaderNames

UNCONFIRMED_RETRY_DELAY_S = 0.5
"""Delay after which clients retry at a gateway that can't tell whether keys were revoked; seconds.
"""


class ClientKeys:
    """Identifies the tenants of requests.

    Parameters
    ----------
    state
        State of the gateway, which contains the directory of the tenants.
    names
        Header fields of clients.
    replies
        Makes the replies to requests that are rejected.
    """

    def __init__(self, *, state: GatewayState, names: HeaderNames, replies: Replies) -> None:
        self._state = state
        self._names = names
        self._replies = replies

    def identify(
        self, req: ClientRequest, request_id: bytes, route: Route
    ) -> Tenant | Reply | None:
        """Return a request's tenant, None if it has none, or the reply that rejects it."""
        directory = self._state.tenants
        if not directory.requires_keys:
            return None
        if not route.public and self._may_hold_revoked_keys():
            return self._replies.reject(
                req,
                request_id,
                status=503,
                cause="configuration not confirmed: keys may be revoked",
                retry_s=UNCONFIRMED_RETRY_DELAY_S,
            )
        values = [value for name, value in req.headers if name == self._names.authorization]
        found = directory.identify(values, public=route.public)
        if isinstance(found, KeyRejection):
            return self._replies.unauthorized(req, request_id, route, rejection=found)
        return found

    def find_tenant(self, req: ClientRequest) -> Tenant | None:
        """Return the tenant whose key a request carries by the configuration in force, or None."""
        values = [value for name, value in req.headers if name == self._names.authorization]
        found = self._state.tenants.find(values)
        return found if isinstance(found, Tenant) else None

    def _may_hold_revoked_keys(self) -> bool:
        bounds = self._state.settings.bounds
        return bounds.strict_revoke and self._state.config_age_s() > bounds.revoke_s
