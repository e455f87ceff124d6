"""The handling of one request, from its arrival to its outcome."""
