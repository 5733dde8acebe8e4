"""Tables of status, time line, explanations and drains."""

import time
from typing import Any, Final

from worksrail.cli._connection import Failure, OperatorClient
from worksrail.cli._output import Output, invalid_argument

_POLL_INTERVAL: Final = 0.25
_FOLLOW_INTERVAL: Final = 0.5
_LIVE_STATES: Final = frozenset(('live', 'self'))
_SECOND: Final = 1
_DRAIN_KINDS: Final = frozenset(('upstream', 'zone', 'entry'))


def show_status(client: OperatorClient, output: Output) -> None:
    """Print entries, generations, permits, headroom and drains."""
    response = output.unwrap(client.get('/v1/status'))
    rows = [
        (
            instance['who'],
            instance['zone'],
            instance['status'],
            instance['seen_as'],
            instance['generation'],
            instance['drains'],
            ','.join(str(seat) for seat in instance['seats']),
            ' '.join(
                f'{spare["service"]}:'
                f'{spare["usable"] - spare["idle"]}/{spare["usable"]}'
                for spare in instance['spares']
            ),
        )
        for instance in sorted(
            response['instances'], key=lambda instance: instance['name']
        )
    ]
    output.table(
        f'drains: {", ".join(response["drains"]) or "none"}',
        (
            'instance',
            'zone',
            'status',
            'seen as',
            'generation',
            'drains',
            'seats',
            'permits in use/usable',
        ),
        rows,
        response,
    )
    if not output.as_json:
        output.table(
            'headroom by service and region',
            ('service', 'region', 'in use', 'usable', 'free after headroom'),
            _headroom_rows(response['instances']),
            response,
        )


def show_explanation(
    client: OperatorClient,
    output: Output,
    address: str,
    service: str,
) -> None:
    """Print the entries a caller would get now, and how upstreams rank."""
    response = output.unwrap(
        client.get('/v1/explain', client=address, service=service)
    )
    answer = response['look_up']
    output.table(
        f'{address} has home region {answer["home"]}; '
        f'generation {answer["generation"]}',
        ('entry', 'address', 'zone', 'region', 'spare'),
        [
            (
                entry['name'],
                entry['address'],
                entry['zone'],
                entry['region'],
                entry['spare'],
            )
            for entry in answer['entries']
        ],
        response,
    )
    if not output.as_json:
        output.table(
            f'upstreams as {response["asked"]} sees them',
            ('upstream', 'zone', 'free', 'in use', 'share', 'score', 'not'),
            [tuple(upstream.values()) for upstream in response['upstreams']],
            response,
        )


def show_timeline(
    client: OperatorClient,
    output: Output,
    filters: dict[str, str],
    *,
    follow: bool,
) -> None:
    """Print the events of all entries, merged in causal order."""
    seen: dict[str, tuple[float, int]] = {}
    while True:
        events = _new_events(client, output, seen)
        for event in events:
            if all(
                text in str(event.get(name, ''))
                for name, text in filters.items()
            ):
                output.line(_event_line(event), event)
        if not follow:
            return
        time.sleep(_FOLLOW_INTERVAL)


def change_drain(
    client: OperatorClient,
    output: Output,
    target: str,
    *,
    add: bool,
    dry_run: bool = False,
    force: bool = False,
    wait: bool = False,
) -> None:
    """Add or remove a drain; ``wait`` waits until no requests remain."""
    kind, _, name = target.partition('/')
    if kind not in _DRAIN_KINDS or not name:
        output.fail(
            invalid_argument(
                f'expected KIND/NAME, KIND of {sorted(_DRAIN_KINDS)}'
            )
        )
    outcome = client.post(
        '/v1/drains',
        {
            'kind': kind,
            'name': name,
            'add': add,
            'dry_run': dry_run,
            'force': force,
        },
    )
    if isinstance(outcome, Failure):
        _show_figures(output, outcome.document.get('figures', ()))
        output.fail(outcome)
    if not output.as_json:
        _show_figures(output, outcome['figures'])
    output.line(
        f'revision {outcome["revision"]}: '
        f'{", ".join(outcome["targets"]) or "no drains"}',
        outcome,
    )
    if wait and add and not dry_run:
        _wait_until_empty(client, output)


def _wait_until_empty(client: OperatorClient, output: Output) -> None:
    started = time.monotonic()
    while True:
        remaining_work = _remaining_work(client, output)
        if not remaining_work:
            break
        for entry, upstream, count in remaining_work:
            output.line(
                f'{entry}: {count} in flight at {upstream}',
                {'entry': entry, 'upstream': upstream, 'in_flight': count},
            )
        time.sleep(_POLL_INTERVAL)
    seconds = round(time.monotonic() - started, 2)
    output.line(f'empty after {seconds} s', {'seconds': seconds})


def _remaining_work(
    client: OperatorClient,
    output: Output,
) -> list[tuple[str, str, int]]:
    response = output.unwrap(client.get('/v1/status'))
    remaining_work: list[tuple[str, str, int]] = []
    for instance in response['instances']:
        if instance['seen_as'] not in _LIVE_STATES:
            continue
        drains = client.get_from(instance['operator'], '/v1/drains')
        if not isinstance(drains, Failure):
            remaining_work.extend(
                (instance['name'], item['upstream'], item['in_flight'])
                for item in drains['remaining']
            )
    return remaining_work


def _show_figures(output: Output, figures: Any) -> None:
    if not figures:
        return
    output.table(
        'what the drain leaves',
        (
            'service',
            'region',
            'slots',
            'slots after',
            'in use',
            'usable after headroom',
            'may leave the region',
        ),
        [tuple(figure.values()) for figure in figures],
        figures,
    )


def _headroom_rows(instances: list[dict[str, Any]]) -> list[tuple[object, ...]]:
    totals: dict[tuple[str, str], list[int]] = {}
    for instance in instances:
        if instance['seen_as'] not in _LIVE_STATES:
            continue
        for spare in instance['spares']:
            key = (spare['service'], instance['region'])
            total = totals.setdefault(key, [0, 0, 0])
            total[0] += spare['usable'] - spare['idle']
            total[1] += spare['usable']
            total[2] += spare['slots']
    return [(*key, *total) for key, total in sorted(totals.items())]


def _new_events(
    client: OperatorClient,
    output: Output,
    seen: dict[str, tuple[float, int]],
) -> list[dict[str, Any]]:
    response = output.unwrap(client.get('/v1/status'))
    events: list[dict[str, Any]] = []
    for instance in response['instances']:
        if instance['seen_as'] not in _LIVE_STATES:
            continue
        address = instance['operator']
        wall, count = seen.get(address, (0, 0))
        answer = client.get_from(
            address, '/v1/timeline', wall=wall, count=count
        )
        if isinstance(answer, Failure) or not answer['events']:
            continue
        events.extend(answer['events'])
        seen[address] = tuple(answer['events'][-1]['at'])
    events.sort(key=lambda event: (event['at'], event['instance']))
    return events


def _event_line(event: dict[str, Any]) -> str:
    parts = [
        time.strftime('%H:%M:%S', time.gmtime(event['at'][0])),
        f'{event["at"][0] % _SECOND:.3f}'[1:],
        event['instance'].ljust(30),
        event['kind'].ljust(20),
        event['subject'],
    ]
    if event['generation']:
        parts.append(f'generation={event["generation"]}')
    if event['trace']:
        parts.append(f'trace={event["trace"]}')
    return ' '.join(parts)
