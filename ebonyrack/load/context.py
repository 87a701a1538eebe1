"""Context and result of experiments, and their registry."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ebonyrack.core.address import Address
from ebonyrack.core.registry import Registry
from ebonyrack.load.cluster import Cluster
from ebonyrack.load.results import Row
from ebonyrack.load.workload_options import WorkloadOptions


@dataclass(slots=True)
class ExperimentContext:
    """A running cluster and the size of the experiment.

    Attributes:
        cluster: Stand-ins and document.
        upstreams: Addresses of the upstreams.
        options: Behaviour of the callers; experiments override some of it.
        proxy_logs: Log file of each proxy.
        trials: Number of trials for each condition.
        duration_s: Length of each condition, in seconds.
        policies: Policies to compare; empty for all.
        faults: Faults to inject; empty for all.
        peers: Addresses at which the proxies accept operator requests.
        peer_secret: Shared secret of the proxies.
    """

    cluster: Cluster
    upstreams: tuple[Address, ...]
    options: WorkloadOptions
    proxy_logs: tuple[Path, ...]
    trials: int
    duration_s: float
    policies: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()
    peers: tuple[Address, ...] = ()
    peer_secret: str = ""


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """Rows of a finished experiment.

    Attributes:
        trials: One row for each trial, or for each condition.
        summary: One row for each condition, for the printed table.
    """

    trials: list[Row]
    summary: list[Row]


Experiment = Callable[[ExperimentContext], Awaitable[ExperimentResult]]
EXPERIMENTS: Registry[Experiment] = Registry("experiment")
