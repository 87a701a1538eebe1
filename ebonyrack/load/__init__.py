"""Workloads, experiments and reports of the load tool."""
