"""What a process tells of itself: logs and metrics."""
