"""What targets bear: admission, choice of a target and warmth."""
