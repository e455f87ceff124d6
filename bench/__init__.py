"""Simulations and measurements; the commands print the tables of docs/measurements.md."""
