"""Failure detection, promotion ballots and planned switchovers of primaries."""
