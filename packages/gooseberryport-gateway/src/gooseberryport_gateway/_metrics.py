"""Counters and histograms, served as text."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from gooseberryport_core.gateway.response_memory import ResponseMemory
from gooseberryport_gateway._tenant_counts import TenantCounts

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Bounds of the latency histograms: around the latency objectives of both users; seconds."""


class Metrics:
    """Count what a gateway does; names are listed in ``docs/metrics.md``."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "gooseberryport_requests",
            "Requests of clients by route and outcome",
            ("route", "outcome"),
            registry=self.registry,
        )
        self.latency = Histogram(
            "gooseberryport_request_seconds",
            "Time from a request's last byte to its answer",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = Counter(
            "gooseberryport_attempts",
            "Sends to upstreams by service and outcome",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.lost_responses = Counter(
            "gooseberryport_lost_responses",
            "Requests whose upstream may have been at work when the connection to it ended, by"
            " what ended it and the phase of this gateway",
            ("cause", "phase"),
            registry=self.registry,
        )
        self.connections = Counter(
            "gooseberryport_upstream_connections",
            "Connections opened to upstreams",
            registry=self.registry,
        )
        self.probes = Counter(
            "gooseberryport_probes",
            "Health checks by outcome",
            ("outcome",),
            registry=self.registry,
        )
        self.lookups = Counter(
            "gooseberryport_lookups",
            "Look-ups of gateways by basis of the answer",
            ("basis",),
            registry=self.registry,
        )
        self.store_calls = Counter(
            "gooseberryport_store_calls",
            "Calls to the store by kind and outcome",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self.ignored = Counter(
            "gooseberryport_ignored",
            "Malformed entries, configurations and datagrams that were ignored",
            ("kind",),
            registry=self.registry,
        )
        self.task_failures = Counter(
            "gooseberryport_task_failures",
            "Unexpected errors of background tasks",
            ("task",),
            registry=self.registry,
        )
        self.limited_upstreams = Gauge(
            "gooseberryport_limited_upstreams",
            "Upstreams that state a rate limit",
            registry=self.registry,
        )
        self.leaving_upstreams = Gauge(
            "gooseberryport_leaving_upstreams",
            "Upstreams that announced in a response that they leave",
            registry=self.registry,
        )
        self.paused_upstreams = Gauge(
            "gooseberryport_paused_upstreams",
            "Upstreams that want no requests from this gateway for a time",
            registry=self.registry,
        )
        self.placed_anew = Counter(
            "gooseberryport_placed_anew",
            "Requests placed anew because of a change while a connection was opened",
            ("gate",),
            registry=self.registry,
        )
        self.tenant_requests = TenantCounts()
        self.registry.register(self.tenant_requests)
        self.rejected_keys = Counter(
            "gooseberryport_rejected_keys",
            "Requests rejected because their key identifies no tenant, by reason",
            ("reason",),
            registry=self.registry,
        )
        self.load_spread = Gauge(
            "gooseberryport_load_spread",
            "Largest known load per slot of a service's upstreams over the mean",
            ("service",),
            registry=self.registry,
        )
        self.level_rejections = Counter(
            "gooseberryport_level_rejections",
            "Requests rejected because the upstreams are full for their priority level",
            ("service", "level"),
            registry=self.registry,
        )
        self.quota_rejections = Counter(
            "gooseberryport_quota_rejections",
            "Requests beyond the quota of their tenant",
            ("tenant",),
            registry=self.registry,
        )
        self.warm_capacity = Gauge(
            "gooseberryport_warm_capacity",
            "Objects that an upstream keeps warm, as far as learned, by service",
            ("service",),
            registry=self.registry,
        )
        self.unexpectedly_cold = Counter(
            "gooseberryport_unexpectedly_cold",
            "Requests whose object was expected to be warm, and was not, by service",
            ("service",),
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "gooseberryport_in_flight", "Requests being answered", registry=self.registry
        )
        self.config_version = Gauge(
            "gooseberryport_config_version", "Configuration in force", registry=self.registry
        )
        self.config_age = Gauge(
            "gooseberryport_config_age_seconds",
            "Time since the store confirmed the configuration, directly or through other gateways",
            registry=self.registry,
        )
        self.store_epoch = Gauge(
            "gooseberryport_store_epoch",
            "Epoch of the store whose data is in use; it grows when the store returns from a copy",
            registry=self.registry,
        )
        self.held_items = Gauge(
            "gooseberryport_held_items",
            "Keys for which the earlier value holds after the store returned from a copy",
            registry=self.registry,
        )

        self.response_bytes = Gauge(
            "gooseberryport_response_bytes",
            "Bytes of responses held for clients",
            registry=self.registry,
        )
        self.paused_responses = Gauge(
            "gooseberryport_paused_responses",
            "Responses that are not read for lack of memory",
            registry=self.registry,
        )
        self.slow_clients = Counter(
            "gooseberryport_slow_clients",
            "Clients that were disconnected because others needed the memory of their replies",
            registry=self.registry,
        )

    def watch_responses(self, memory: ResponseMemory) -> None:
        """Read the figures of responses from their memory."""
        self.response_bytes.set_function(lambda: memory.total_bytes)
        self.paused_responses.set_function(lambda: memory.paused_responses)

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self.registry)
