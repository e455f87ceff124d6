"""Load pattern: a caller sends a request again and again that crashes each target it reaches."""

from ebonyvalve.process import identity
from ebonyvalve.process.load import crashes

POISON = identity.Fingerprint("poison")
POPULAR = identity.Fingerprint("popular")


def test_request_of_three_crashes_is_guilty() -> None:
    """What ran beside it in one of them is not."""
    state = crashes.Quarantine()
    for number in range(3):
        assert not crashes.is_quarantined(state, POISON, number * 4.0)
        innocent = identity.Fingerprint(f"innocent-{number}")
        crashes.record_crash(state, [POISON, innocent], number * 4.0)
    assert crashes.is_quarantined(state, POISON, 9.0)
    assert not any(
        crashes.is_quarantined(state, identity.Fingerprint(f"innocent-{number}"), 9.0)
        for number in range(3)
    )


def test_fault_of_several_targets_counts_once() -> None:
    """A rack without power says nothing of what its targets ran."""
    state = crashes.Quarantine()
    for number in range(6):
        crashes.record_crash(state, [POPULAR], 1.0 + number * 0.01)
    assert not crashes.is_quarantined(state, POPULAR, 2.0)


def test_old_crashes_are_forgotten() -> None:
    """A target that was mended must get such requests again."""
    state = crashes.Quarantine()
    for number in range(3):
        crashes.record_crash(state, [POISON], number * 1.0)
    assert crashes.is_quarantined(state, POISON, 10.0)
    assert not crashes.is_quarantined(state, POISON, 10.0 + crashes.MEMORY_S)


def test_memory_is_bounded() -> None:
    """The oldest go first."""
    state = crashes.Quarantine()
    for number in range(crashes.CAPACITY + 10):
        crashes.record_crash(state, [identity.Fingerprint(str(number))], number * 0.001)
    assert len(state.crashes) == crashes.CAPACITY
    assert identity.Fingerprint("0") not in state.crashes
