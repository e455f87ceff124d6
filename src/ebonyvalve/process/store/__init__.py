"""The table that outlives every process."""
