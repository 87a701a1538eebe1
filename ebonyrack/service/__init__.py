"""The running proxy: its parts put together, drain and status."""
