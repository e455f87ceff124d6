"""Plays other systems for tests and trials; a running daemon never imports it."""
