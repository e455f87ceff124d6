"""State and functions that belong to one accepted version of the configuration."""
