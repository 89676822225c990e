"""Findings on a configuration, and fingerprints that name API keys in them.

Failure pattern: the output of a check is pasted into a ticket or a log, and with it an API key. No
finding contains a key; two keys are told apart by digests that mean nothing in another run.
"""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b

import msgspec

FINGERPRINT_BYTES = 4
"""Size of a key's fingerprint: enough to tell the keys of a document apart; bytes."""


class Severity(Enum):
    """How much a finding matters."""

    ERROR = "error"
    WARNING = "warning"
    NOTICE = "notice"


class Code(Enum):
    """Stable name of a kind of finding."""

    NO_ROUTES = "no-routes"
    ROUTE_NEVER_MATCHES = "route-never-matches"
    ROUTE_SHADOWED = "route-shadowed"
    ROUTE_NAME_REPEATED = "route-name-repeated"
    HOST_UNUSABLE = "host-unusable"
    UNKNOWN_SERVICE = "unknown-service"
    SERVICE_UNUSED = "service-unused"
    SERVICE_WITHOUT_UPSTREAMS = "service-without-upstreams"
    REGIONS_DISJOINT = "regions-disjoint"
    TENANT_WITHOUT_KEY = "tenant-without-key"
    TENANT_NAME_REPEATED = "tenant-name-repeated"
    SHARED_KEY = "shared-key"
    KEY_UNUSABLE = "key-unusable"
    KEY_IS_NAME = "key-is-name"
    NO_USABLE_KEY = "no-usable-key"
    TIMEOUT_ZERO = "timeout-zero"
    OBJECTIVE_ABOVE_TIMEOUT = "objective-above-timeout"
    OBJECTIVE_ZERO = "objective-zero"
    ATTEMPTS_ABOVE_UPSTREAMS = "attempts-above-upstreams"
    BURST_BELOW_ONE = "burst-below-one"
    BURST_WITHOUT_RATE = "burst-without-rate"
    QUOTAS_ABOVE_SLOTS = "quotas-above-slots"
    COLD_RATE_ZERO = "cold-rate-zero"
    HEADER_LIMIT_SMALL = "header-limit-small"
    BODY_LIMIT_ABOVE_MEMORY = "body-limit-above-memory"
    VERSION_NOT_HIGHER = "version-not-higher"
    LAST_KEY_LOST = "last-key-lost"
    KEYS_NOT_REQUIRED = "keys-not-required"


class Section(Enum):
    """Part of a `RoutingConfig`; its value is the name of the field."""

    CONFIG = ""
    ROUTES = "routes"
    SERVICES = "services"
    LIMITS = "limits"
    TENANTS = "tenants"


class Location(msgspec.Struct, frozen=True):
    """Field of a `RoutingConfig`.

    Parameters
    ----------
    section
        Part of the configuration.
    key
        Index of a route or tenant, or name of a service; None for other sections.
    field
        Name of the field in the model; empty for the whole entry.
    """

    section: Section
    key: int | str | None = None
    field: str = ""


class Finding(msgspec.Struct, frozen=True):
    """What is wrong with a configuration, what follows from it, and what to do.

    Parameters
    ----------
    code
        Stable name of the kind of finding.
    severity
        Whether publishing the configuration would do harm.
    location
        Where it is.
    consequence, remedy
        What gateways do with it, and what to do about it; without any key.
    """

    code: Code
    severity: Severity
    location: Location
    consequence: str
    remedy: str


class Fingerprints:
    """Short keyed digests by which API keys can be told apart within one run, and not beyond.

    Parameters
    ----------
    secret
        Random secret of this run; at most 64 bytes.
    """

    def __init__(self, *, secret: bytes) -> None:
        self._secret = secret

    def of(self, key: str) -> str:
        """Return the fingerprint of a key."""
        digest = blake2b(key.encode(), key=self._secret, digest_size=FINGERPRINT_BYTES)
        return digest.hexdigest()
