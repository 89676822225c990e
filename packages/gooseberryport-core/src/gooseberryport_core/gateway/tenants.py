"""Identification of a request's tenant by the API key in its ``Authorization`` field.

Load pattern: every request carries a key, and thousands of keys are valid at once, while unknown
keys arrive at any rate. A look-up therefore takes constant time whatever the number of keys, and
its time says nothing about how much of a wrong key matches a valid one: keys are compared by keyed
digests whose secret no client knows.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from hashlib import blake2b

from gooseberryport_core.gateway.model import RoutingConfig, Tenant

DIGEST_BYTES = 16
"""Size of a key's digest: no two of a million keys have the same one, but for a chance of 2**-89;
bytes."""

SECRET_BYTES = 32
"""Size of the secret of the digests; bytes."""

AUTH_SCHEME = b"bearer"


class KeyRejection(Enum):
    """Why a request's key identifies no tenant."""

    MISSING = "missing"
    REPEATED = "repeated"
    """The request has several ``Authorization`` fields."""

    MALFORMED = "malformed"
    """The field is not the scheme ``Bearer`` and one token."""

    UNKNOWN = "unknown"
    SHARED = "shared"
    """Several tenants of the configuration hold the key, so it identifies none of them."""


class TenantDirectory:
    """Tenants of one configuration, found by their keys; contains digests instead of the keys.

    Parameters
    ----------
    config
        Configuration that contains the tenants; None stands for one without tenants.
    secret
        Random secret of this process, of `SECRET_BYTES` bytes.
    """

    def __init__(self, config: RoutingConfig | None, *, secret: bytes) -> None:
        self.requires_keys = config is not None and config.requires_keys
        """Whether requests need a key, except on public routes."""
        self._secret = secret
        # None for a key that several tenants hold.
        self._holders: dict[bytes, Tenant | None] = {}
        for tenant in config.tenants if config is not None else ():
            for key in tenant.api_keys:
                digest = self._digest(key.encode())
                self._holders[digest] = None if digest in self._holders else tenant

    def find(self, values: Sequence[bytes]) -> Tenant | KeyRejection:
        """Return the tenant whose key a request carries.

        Parameters
        ----------
        values
            Values of all ``Authorization`` fields of the request.
        """
        if not values:
            return KeyRejection.MISSING
        if len(values) > 1:
            return KeyRejection.REPEATED
        key = parse_bearer(values[0])
        if key is None:
            return KeyRejection.MALFORMED
        digest = self._digest(key)
        if digest not in self._holders:
            return KeyRejection.UNKNOWN
        return self._holders[digest] or KeyRejection.SHARED

    def identify(self, values: Sequence[bytes], *, public: bool) -> Tenant | KeyRejection | None:
        """Return a request's tenant, why the request is rejected, or None if it has no tenant.

        Parameters
        ----------
        values
            Values of all ``Authorization`` fields of the request.
        public
            Whether its route requires no key.
        """
        if not self.requires_keys:
            return None
        found = self.find(values)
        return None if public and isinstance(found, KeyRejection) else found

    def _digest(self, key: bytes) -> bytes:
        return blake2b(key, key=self._secret, digest_size=DIGEST_BYTES).digest()


def parse_bearer(value: bytes) -> bytes | None:
    """Return the token of an ``Authorization`` field, or None if it is not ``Bearer`` and a token.

    A token is any sequence of bytes without spaces and control characters: whether it is a key is
    decided by the look-up alone.
    """
    scheme, _, token = value.strip(b" \t").partition(b" ")
    token = token.lstrip(b" ")
    if scheme.lower() != AUTH_SCHEME or not token:
        return None
    if any(byte <= 0x20 or byte == 0x7F for byte in token):
        return None
    return token
