"""Tests of the decisions on pipelined requests."""

import pytest

from ebonyvalve.connection import pipeline

SIZE = 1000


def build_line(number: int) -> tuple[pipeline.Line, list[pipeline.Entry], pipeline.Stats]:
    line, stats = pipeline.Line(), pipeline.Stats()
    return line, [pipeline.add(line, stats) for _ in range(number)], stats


def may_read(
    line: pipeline.Line,
    *,
    node_bytes: int = 0,
    is_stopping: bool = False,
    is_answer_begun: bool = False,
) -> bool:
    return pipeline.may_read(
        line, node_bytes=node_bytes, is_stopping=is_stopping, is_answer_begun=is_answer_begun
    )


def test_requests_in_flight_are_bounded() -> None:
    """Guards against one caller that takes all slots of a target with one connection."""
    line, entries, _ = build_line(pipeline.MAX_IN_FLIGHT)
    assert not may_read(line)
    pipeline.finish(line, entries[0], keeps_open=True)
    assert may_read(line)


def test_nothing_is_read_ahead_while_the_node_holds_too_much() -> None:
    """Guards against a node whose memory fills with answers that wait for their turn."""
    line, _, _ = build_line(1)
    assert may_read(line, node_bytes=pipeline.MAX_NODE_BYTES - 1)
    assert not may_read(line, node_bytes=pipeline.MAX_NODE_BYTES)


def test_nothing_is_read_ahead_during_a_stop() -> None:
    """Guards against requests that begin behind an answer that announces the close."""
    line, _, _ = build_line(1)
    assert not may_read(line, is_stopping=True)


def test_nothing_is_read_ahead_behind_an_answer_that_has_begun() -> None:
    """Guards against requests that are lost with an answer which nothing can replace."""
    line, _, _ = build_line(1)
    assert not may_read(line, is_answer_begun=True)


@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("is_complete", [False, True])
@pytest.mark.parametrize("is_stopping", [False, True])
def test_course(is_repeatable: bool, is_complete: bool, is_stopping: bool) -> None:
    """Guards against an order that runs although an answer before it closes the connection."""
    course = pipeline.choose_course(
        is_repeatable=is_repeatable, is_complete=is_complete, is_stopping=is_stopping
    )
    is_overlapping = is_repeatable and is_complete and not is_stopping
    assert (course is pipeline.Course.OVERLAP) is is_overlapping


def test_only_the_first_request_is_answered() -> None:
    """Guards against an answer that is sent before that of an earlier request."""
    line, entries, _ = build_line(3)
    assert [pipeline.is_first(line, entry) for entry in entries] == [True, False, False]
    assert pipeline.finish(line, entries[0], keeps_open=True) is pipeline.Next.ANSWER
    assert [pipeline.is_first(line, entry) for entry in entries] == [False, True, False]
    assert pipeline.finish(line, entries[1], keeps_open=True) is pipeline.Next.ANSWER
    assert pipeline.finish(line, entries[2], keeps_open=True) is pipeline.Next.EMPTY


def test_nothing_joins_a_line_that_has_ended() -> None:
    """Guards against a request that is read as the last one ends, and whose turn never comes."""
    line, entries, _ = build_line(1)
    assert pipeline.finish(line, entries[0], keeps_open=True) is pipeline.Next.EMPTY
    assert not may_read(line)


def test_nothing_follows_a_closing_answer() -> None:
    """Guards against an answer, or a further request, behind one that closes the connection."""
    line, entries, _ = build_line(3)
    assert pipeline.finish(line, entries[0], keeps_open=False) is pipeline.Next.CLOSE
    assert not any(pipeline.is_first(line, entry) for entry in entries)
    assert not may_read(line)


def test_held_answers_are_bounded() -> None:
    """Guards against answers without limit that wait behind a slow one."""
    line, entries, _ = build_line(3)
    pipeline.hold(line, entries[1], pipeline.MAX_HELD_BYTES - SIZE)
    assert pipeline.may_hold(line, SIZE, node_bytes=0)
    assert not pipeline.may_hold(line, SIZE + 1, node_bytes=0)
    assert not pipeline.may_hold(line, SIZE, node_bytes=pipeline.MAX_NODE_BYTES)
    pipeline.hold(line, entries[2], SIZE)
    assert pipeline.release(line, entries[1]) == pipeline.MAX_HELD_BYTES - SIZE
    assert pipeline.release(line, entries[1]) == 0
    assert line.held_bytes == entries[2].held_bytes == SIZE


def test_requests_are_counted_by_how_many_run() -> None:
    """Guards against metrics that count requests without pipelining."""
    _, _, stats = build_line(1)
    assert (stats.read_ahead, dict(stats.in_flight)) == (0, {})
    _, _, stats = build_line(3)
    assert (stats.read_ahead, dict(stats.in_flight)) == (2, {2: 1, 3: 1})


def test_requests_count_from_the_read_that_brought_them() -> None:
    """Guards against a deadline that counts from a later read, or from the request's turn."""
    arrivals = pipeline.Arrivals()
    pipeline.record_arrival(arrivals, 100, 1.0)
    pipeline.record_arrival(arrivals, 250, 2.0)
    assert pipeline.find_arrival(arrivals, 60) == 1.0
    assert pipeline.find_arrival(arrivals, 100) == 1.0
    assert pipeline.find_arrival(arrivals, 101) == 2.0
    # Read after the last one that was recorded.
    assert pipeline.find_arrival(arrivals, 251) is None


def test_times_of_many_small_reads_are_bounded() -> None:
    """Guards against memory that a caller takes by single bytes, and against a later deadline."""
    arrivals = pipeline.Arrivals()
    for number in range(10 * pipeline.MAX_ARRIVALS):
        pipeline.record_arrival(arrivals, number + 1, float(number))
    assert len(arrivals.reads) == pipeline.MAX_ARRIVALS
    end = 10 * pipeline.MAX_ARRIVALS
    assert pipeline.is_recorded(arrivals, end) and not pipeline.is_recorded(arrivals, end + 1)
    assert pipeline.find_arrival(arrivals, end) == pipeline.MAX_ARRIVALS - 1
