"""Load pattern: a caller sends a request again and again that crashes each target it reaches."""

from ebonyvalve.process import identity
from ebonyvalve.process.load import suspicion

POISON = identity.Fingerprint("poison")
POPULAR = identity.Fingerprint("popular")


def test_request_of_three_crashes_is_guilty() -> None:
    """What ran beside it in one of them is not."""
    state = suspicion.Suspicion()
    for number in range(3):
        assert not suspicion.is_guilty(state, POISON, number * 4.0)
        innocent = identity.Fingerprint(f"innocent-{number}")
        suspicion.note_crash(state, [POISON, innocent], number * 4.0)
    assert suspicion.is_guilty(state, POISON, 9.0)
    assert not any(
        suspicion.is_guilty(state, identity.Fingerprint(f"innocent-{number}"), 9.0)
        for number in range(3)
    )


def test_fault_of_several_targets_counts_once() -> None:
    """A rack without power says nothing of what its targets ran."""
    state = suspicion.Suspicion()
    for number in range(6):
        suspicion.note_crash(state, [POPULAR], 1.0 + number * 0.01)
    assert not suspicion.is_guilty(state, POPULAR, 2.0)


def test_old_crashes_are_forgotten() -> None:
    """A target that was mended must get such requests again."""
    state = suspicion.Suspicion()
    for number in range(3):
        suspicion.note_crash(state, [POISON], number * 1.0)
    assert suspicion.is_guilty(state, POISON, 10.0)
    assert not suspicion.is_guilty(state, POISON, 10.0 + suspicion.MEMORY_S)


def test_memory_is_bounded() -> None:
    """The oldest go first."""
    state = suspicion.Suspicion()
    for number in range(suspicion.CAPACITY + 10):
        suspicion.note_crash(state, [identity.Fingerprint(str(number))], number * 0.001)
    assert len(state.crashes) == suspicion.CAPACITY
    assert identity.Fingerprint("0") not in state.crashes
