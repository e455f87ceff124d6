"""The store, whose tables outlive every process."""
