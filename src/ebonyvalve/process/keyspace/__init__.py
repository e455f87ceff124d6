"""Ownership of key ranges by fenced grants."""
