"""Stand-ins of the platform, of targets and of callers, for the cases of the review."""
