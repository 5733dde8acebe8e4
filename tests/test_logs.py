"""Logs are bounded and never block."""

import os
from typing import Any

import msgspec
import pytest
from logbook import Logger

from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.daemon._logs import JsonLines, LineSink
from worksrail.daemon.steered._decisions import DecisionLog, SecondLimit
from worksrail.daemon.steered._metrics import SteeringMetrics


def test_reader_that_never_reads_stops_nothing() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = LineSink(lambda payload: os.write(writer, payload))
    for _ in range(20_000):
        sink.put(b'x' * 99 + b'\n')
    assert sink.dropped > 10_000
    assert sink.size <= 262_144
    read = os.read(reader, 1 << 20)
    sink.flush()
    read += os.read(reader, 1 << 20)
    os.close(reader)
    os.close(writer)
    assert set(read.split(b'\n')[:-1]) == {b'x' * 99}


def test_reader_that_went_away_stops_nothing() -> None:
    def gone(payload: bytes) -> int:
        raise BrokenPipeError

    sink = LineSink(gone)
    sink.put(b'line\n')
    assert (sink.dropped, sink.size) == (1, 0)


def test_lines_are_json_with_their_fields() -> None:
    lines: list[bytes] = []

    def keep(payload: bytes) -> int:
        lines.append(payload)
        return len(payload)

    with JsonLines('one', 'INFO', LineSink(keep)).applicationbound():
        Logger('worksrail.x').info('sent', extra={'own': 0, 'subject': ''})
    line = msgspec.json.decode(lines[0])
    assert line['message'] == 'sent'
    assert line['own'] == 0
    assert 'subject' not in line


def test_limit_holds_in_each_second_and_counts_the_rest() -> None:
    limit = SecondLimit()
    allowed = [limit.allows('x', 3, now) for now in (1, 1.2, 1.4, 1.6, 2)]
    assert allowed == [True, True, True, False, True]
    assert limit.take_left_out() == {'x': 1}
    assert limit.take_left_out() == {}


class _Written:
    """Decisions that reach the log."""

    def __init__(self) -> None:
        """Begin with none."""
        self.now = 10.0
        self.names: list[str] = []
        self.metrics = SteeringMetrics.create()
        self.log = DecisionLog(
            lambda number: f't{number}', self.metrics, lambda: self.now
        )

    def put(self, kind: DecisionKind, request: int = 0, **inputs: Any) -> None:
        """Write a decision."""
        lines: list[bytes] = []

        def keep(payload: bytes) -> int:
            lines.append(payload)
            return len(payload)

        decision = Decision(kind, 'x', request, tuple(inputs.items()))
        with JsonLines('one', 'INFO', LineSink(keep)).applicationbound():
            self.log.write(decision)
        for line in lines:
            decoded = msgspec.json.decode(line)
            self.names.append(
                f'{decoded["message"]} {decoded.get("request", "")}'.strip()
            )


@pytest.mark.parametrize(
    ('end', 'inputs'),
    [
        (DecisionKind.REQUEST_REFUSED, {}),
        (DecisionKind.REQUEST_FAILED, {}),
        (DecisionKind.REQUEST_DROPPED, {}),
        (
            DecisionKind.REQUEST_ANSWERED,
            {'late': 1, 'route': 'r', 'after': 0.1},
        ),
    ],
)
def test_whole_trail_of_a_bad_request_is_written(
    end: DecisionKind, inputs: dict[str, Any]
) -> None:
    written = _Written()
    written.put(DecisionKind.REQUEST_SENT, 7)
    written.put(DecisionKind.REQUEST_SENT, 8)
    written.put(DecisionKind.REQUEST_REPEATED, 7)
    assert not written.names
    written.put(end, 7, **inputs)
    last = end.name.lower().replace('_', '-')
    assert written.names == [
        'request-sent t7',
        'request-repeated t7',
        f'{last} t7',
    ]
    assert set(written.log.trails) == {8}


def test_volume_is_bounded_and_everything_is_counted() -> None:
    written = _Written()
    for number in range(1, 2000):
        written.put(DecisionKind.REQUEST_SENT, number)
        written.put(DecisionKind.REQUEST_REFUSED, number)
    assert len(written.names) == 100
    assert not written.log.trails
    value = written.metrics.registry.get_sample_value(
        'worksrail_results_total', {'result': 'x'}
    )
    assert value == 1999
