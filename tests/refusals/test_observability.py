"""Logs and metrics tell on what evidence a request counts as not executed."""

import asyncio
from typing import Any

import pytest

from tests.refusals.entries import Way, ask, open_entry
from tests.refusals.upstream import OddUpstream, head, success
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.daemon.steered._metrics import SteeringMetrics


def _play(name: str, *payloads: str) -> list[Decision]:
    """Refuse a request once, after answers to other requests, then serve it."""

    async def run() -> list[Decision]:
        def script(trace: str, _: int) -> tuple[bool, list[bytes]]:
            if refused:
                return True, [success(trace)]
            refused.append(trace)
            strays = [head(200, stray) for stray in payloads]
            return False, [*strays, head(503, trace, stated=True)]

        refused: list[str] = []
        upstreams = [await OddUpstream(script).open() for _ in range(2)]
        entry = open_entry(Way.DIRECT, *upstreams)[0]
        assert (await ask(entry.open(), name, 't1')).status == 200
        entry.server.stop()
        return entry.notes

    return asyncio.run(run())


def _fields(decisions: list[Decision], kind: DecisionKind) -> list[Any]:
    return [dict(one.inputs) for one in decisions if one.kind is kind]


def test_log_tells_why_an_attempt_counts_as_not_executed() -> None:
    decisions = _play('write')
    (fields,) = _fields(decisions, DecisionKind.NOT_EXECUTED)
    assert fields['status'] == 503
    assert fields['stated'] == 1
    assert fields['named'] == 'THIS'
    assert fields['uses'] == 1
    assert fields['place'].startswith('i-')


def test_requests_that_may_repeat_need_no_evidence() -> None:
    assert not _fields(_play('read'), DecisionKind.NOT_EXECUTED)


def test_log_tells_of_stray_answers() -> None:
    decisions = _play('write', 'another')
    (fields,) = _fields(decisions, DecisionKind.STRAY_ANSWER)
    assert fields['status'] == 200
    assert fields['stated'] == 0


@pytest.mark.parametrize(
    ('kind', 'subject', 'line'),
    [
        (
            DecisionKind.NOT_EXECUTED,
            'WITHDRAWN',
            'worksrail_not_executed_total{evidence="WITHDRAWN"} 1.0',
        ),
        (
            DecisionKind.STRAY_ANSWER,
            'NONE',
            'worksrail_stray_answers_total{named="NONE"} 1.0',
        ),
    ],
)
def test_evidence_is_counted(
    kind: DecisionKind, subject: str, line: str
) -> None:
    metrics = SteeringMetrics.create()
    metrics.count(Decision(kind, subject, 1))
    world = open_entry(Way.DIRECT)[0].engine.state
    assert line in metrics.render(world, 0, 0).decode()
