"""Detection of lost primaries, ballots and switchovers."""
