"""Modules whose state lasts for one connection."""
