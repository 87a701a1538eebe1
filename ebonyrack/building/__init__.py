"""Building what the deploy file runs, and naming the build that runs."""
