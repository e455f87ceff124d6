"""Load of the targets: admission control, target selection, rates of keys and slow start."""
