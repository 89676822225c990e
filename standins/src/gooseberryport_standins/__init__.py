"""Stand-ins for external systems, a load generator, fault-injection tests and benchmarks."""
