"""OpenTelemetry instruments and their endpoint for Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics

if TYPE_CHECKING:
    from ebonyrack.building.build_info import BuildInfo
    from ebonyrack.core.address import Address

meter = metrics.get_meter("ebonyrack")

requests = meter.create_counter(
    "ebonyrack_requests", description="Requests answered, by group, kind and outcome"
)
answer_time = meter.create_histogram(
    "ebonyrack_answer", unit="s", description="Time to an answer, by kind of request"
)
account_requests = meter.create_counter(
    "ebonyrack_account_requests",
    description="Requests answered, by client account (the largest) and outcome",
)
sessions_refused = meter.create_counter(
    "ebonyrack_sessions_refused", description="Sessions not opened, by kind of error"
)
placements = meter.create_counter(
    "ebonyrack_placements", description="Requests placed, by group, role and reason"
)
limit_decisions = meter.create_counter(
    "ebonyrack_limit_decisions",
    description="Operations under a limit, by account and outcome; small accounts are"
    " counted together as other",
)
acknowledge_time = meter.create_histogram(
    "ebonyrack_acknowledge", unit="s", description="Wait for a majority after a commit"
)
queue_time = meter.create_histogram(
    "ebonyrack_queue", unit="s", description="Wait for an upstream connection"
)
connections_opened = meter.create_counter(
    "ebonyrack_connections_opened",
    description="Connections to upstreams, by group and outcome",
)
primary_changes = meter.create_counter(
    "ebonyrack_primary_changes", description="Changes of primary seen, by group"
)
store_calls = meter.create_counter(
    "ebonyrack_store_calls", description="Calls to the platform's store, by kind"
)
peer_bytes = meter.create_counter(
    "ebonyrack_peer_bytes", unit="By", description="Bytes exchanged with peers"
)
handed_over = meter.create_counter(
    "ebonyrack_handed_over", description="Statements handed to homes, by outcome"
)
served_for_others = meter.create_counter(
    "ebonyrack_served_for_others",
    description="Statements served for other proxies, by outcome",
)


def start_metrics(address: Address | None, build: BuildInfo) -> None:
    """Collect metrics and serve them for scraping.

    Without an address nothing is collected, which saves the memory of the exporter.

    Args:
        address: Where the Prometheus text format is served, or None.
        build: The build of this process, which is a metric too.
    """
    if address is None:
        return
    # The exporter takes several megabytes, so it is imported only if it is used.
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider
    from prometheus_client import start_http_server

    metrics.set_meter_provider(MeterProvider(metric_readers=[PrometheusMetricReader()]))
    meter.create_observable_gauge(
        "ebonyrack_build",
        [lambda _: [metrics.Observation(1, dict(build.list_fields()))]],
        description="Always 1, with the running build as attributes",
    )
    start_http_server(address.port, addr=address.host)
