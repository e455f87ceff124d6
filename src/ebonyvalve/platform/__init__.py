"""Translates between the users' platform and the product's types."""
