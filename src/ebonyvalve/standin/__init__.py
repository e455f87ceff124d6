"""Stand-ins of other systems for tests and benchmarks. The daemon never imports them."""
