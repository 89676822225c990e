"""Stand-ins of the systems served, a load tool and benchmarks."""
