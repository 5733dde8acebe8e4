"""Log volume is bounded, and logging never blocks."""

import os
from typing import Any

import msgspec
import pytest
from logbook import Logger

from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.daemon._logs import JsonLines, LineSink
from worksrail.daemon.steered._decisions import DecisionLog, SecondLimit
from worksrail.daemon.steered._metrics import SteeringMetrics


def test_put_does_not_block_when_nothing_reads() -> None:
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


def test_put_does_not_raise_when_the_reader_is_gone() -> None:
    def raise_broken_pipe(payload: bytes) -> int:
        raise BrokenPipeError

    sink = LineSink(raise_broken_pipe)
    sink.put(b'line\n')
    assert (sink.dropped, sink.size) == (1, 0)


def test_records_are_written_as_json_with_extra_fields() -> None:
    lines: list[bytes] = []

    def capture(payload: bytes) -> int:
        lines.append(payload)
        return len(payload)

    with JsonLines('one', 'INFO', LineSink(capture)).applicationbound():
        Logger('worksrail.x').info('sent', extra={'own': 0, 'subject': ''})
    line = msgspec.json.decode(lines[0])
    assert line['message'] == 'sent'
    assert line['own'] == 0
    assert 'subject' not in line


def test_limit_applies_per_second_and_counts_omitted_lines() -> None:
    limit = SecondLimit()
    allowed = [limit.allows('x', 3, now) for now in (1, 1.2, 1.4, 1.6, 2)]
    assert allowed == [True, True, True, False, True]
    assert limit.take_left_out() == {'x': 1}
    assert limit.take_left_out() == {}


class _LoggedDecisions:
    """A decision log, and the names of the lines it writes."""

    def __init__(self) -> None:
        """Create a log without lines."""
        self.now = 10.0
        self.names: list[str] = []
        self.metrics = SteeringMetrics.create()
        self.log = DecisionLog(
            lambda number: f't{number}', self.metrics, lambda: self.now
        )

    def put(self, kind: DecisionKind, request: int = 0, **inputs: Any) -> None:
        """Pass a decision to the log."""
        lines: list[bytes] = []

        def capture(payload: bytes) -> int:
            lines.append(payload)
            return len(payload)

        decision = Decision(kind, 'x', request, tuple(inputs.items()))
        with JsonLines('one', 'INFO', LineSink(capture)).applicationbound():
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
def test_all_decisions_of_a_failed_request_are_written(
    end: DecisionKind, inputs: dict[str, Any]
) -> None:
    logged = _LoggedDecisions()
    logged.put(DecisionKind.REQUEST_SENT, 7)
    logged.put(DecisionKind.REQUEST_SENT, 8)
    logged.put(DecisionKind.REQUEST_REPEATED, 7)
    assert not logged.names
    logged.put(end, 7, **inputs)
    last = end.name.lower().replace('_', '-')
    assert logged.names == [
        'request-sent t7',
        'request-repeated t7',
        f'{last} t7',
    ]
    assert set(logged.log.trails) == {8}


def test_log_volume_is_bounded_and_metrics_count_all() -> None:
    logged = _LoggedDecisions()
    for number in range(1, 2000):
        logged.put(DecisionKind.REQUEST_SENT, number)
        logged.put(DecisionKind.REQUEST_REFUSED, number)
    assert len(logged.names) == 100
    assert not logged.log.trails
    value = logged.metrics.registry.get_sample_value(
        'worksrail_results_total', {'result': 'x'}
    )
    assert value == 1999
