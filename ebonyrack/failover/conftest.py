"""Fixtures for the failover tests."""

import importlib

start_bench = importlib.import_module("ebonyrack.failover.bench_test").start_bench
