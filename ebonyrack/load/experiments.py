"""Imports every experiment so that it is registered."""

from ebonyrack.load import acknowledge_cost
from ebonyrack.load import failover_gap
from ebonyrack.load import failover_queue
from ebonyrack.load import goodput
from ebonyrack.load import leaving_time
from ebonyrack.load import replica_share

__all__ = [
    "acknowledge_cost",
    "failover_gap",
    "failover_queue",
    "goodput",
    "leaving_time",
    "replica_share",
]
