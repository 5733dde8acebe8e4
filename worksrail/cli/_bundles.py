"""``worksrail bundle``: check, submit, approve, roll, show, diff, history."""

import difflib
import time
import uuid
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

import yaml

from worksrail.cli._connection import Failure, OperatorClient
from worksrail.cli._output import Output, invalid_argument
from worksrail.core.bundle import BundleFaults, pack_bundle, parse_bundle

_ROLL_TIMEOUT: Final = 60.0
_POLL_INTERVAL: Final = 0.05
_ID_LENGTH: Final = 12


class BundleCommands:
    """Commands that check, review, roll and show bundles."""

    def __init__(self, client: OperatorClient, output: Output) -> None:
        """Call entries through ``client`` and print to ``output``."""
        self._client = client
        self._output = output

    def check(self, file: str) -> None:
        """Name every fault of a bundle file with line and field."""
        bundle = parse_bundle(self._read_file(file))
        if isinstance(bundle, BundleFaults):
            faults = [asdict(fault) for fault in bundle.faults]
            self._output.fail(Failure(bundle.code, {'faults': faults}))
        digest = pack_bundle(bundle).digest
        self._output.line(f'valid; digest {digest}', {'digest': digest})

    def submit(self, file: str) -> None:
        """Store a bundle for review and print its digest."""
        response = self._output.unwrap(
            self._client.post_text('/v1/bundles', self._read_file(file))
        )
        self._output.line(
            f'submitted {response["digest"]} by {response["submitter"]}',
            response,
        )

    def approve(self, digest: str) -> None:
        """Approve exactly the bundle of that digest."""
        response = self._output.unwrap(
            self._client.post(f'/v1/bundles/{digest}/approval', {})
        )
        self._output.line(
            f'approved {response["digest"]} by {response["approver"]}', response
        )

    def roll(self, digest: str, operation: str = '', wait: bool = True) -> None:
        """Bring a bundle into force and wait until all instances have it.

        The operation id names the generation that is replaced.  Running the
        command again with the id it printed gives the same outcome.
        """
        name = (
            operation
            or f'{self._current_generation()}-{uuid.uuid4().hex[:_ID_LENGTH]}'
        )
        base = name.partition('-')[0]
        if not base.isdigit():
            self._output.fail(invalid_argument(f'no operation id: {name}'))
        started = time.monotonic()
        outcome = self._client.post(
            '/v1/roll',
            {'digest': digest, 'base': int(base), 'operation': name},
        )
        if isinstance(outcome, Failure):
            document = {**outcome.document, 'operation': name}
            detail = f'{document.get("detail", "")} (operation {name})'
            self._output.fail(
                Failure(outcome.code, {**document, 'detail': detail})
            )
        generation = int(outcome['generation'])
        rows = self._wait_until_in_force(generation, started) if wait else []
        self._output.table(
            f'rolled generation {generation} (operation {name})',
            ('instance', 'in force after s'),
            rows,
            {
                'generation': generation,
                'operation': name,
                'in_force': [
                    {'instance': who, 'seconds': seconds}
                    for who, seconds in rows
                ],
            },
        )

    def show(self, digest: str) -> None:
        """Print a bundle as YAML."""
        bundle = self._fetch_bundle(digest)
        self._output.line(_to_yaml(bundle), bundle)

    def diff(self, old: str, new: str) -> None:
        """Print what differs between two bundles, by digest."""
        before = _to_yaml(self._fetch_bundle(old)).splitlines()
        after = _to_yaml(self._fetch_bundle(new)).splitlines()
        lines = list(difflib.unified_diff(before, after, old, new, lineterm=''))
        self._output.line('\n'.join(lines), {'diff': lines})

    def history(self) -> None:
        """Print all generations: who submitted, approved and rolled them."""
        response = self._output.unwrap(self._client.get('/v1/history'))
        columns = (
            'generation',
            'digest',
            'base',
            'submitter',
            'approver',
            'roller',
            'operation',
        )
        rows = [
            [
                entry[column][:_ID_LENGTH]
                if column == 'digest'
                else entry[column]
                for column in columns
            ]
            for entry in response['history']
        ]
        self._output.table('history', columns, rows, response)

    def _read_file(self, file: str) -> str:
        try:
            return Path(file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            self._output.fail(invalid_argument(str(error)))

    def _fetch_bundle(self, digest: str) -> Any:
        return self._output.unwrap(self._client.get(f'/v1/bundles/{digest}'))

    def _current_generation(self) -> int:
        response = self._client.get('/v1/history')
        if isinstance(response, Failure):
            return 0
        return int(response['history'][-1]['generation'])

    def _wait_until_in_force(
        self,
        generation: int,
        started: float,
    ) -> list[tuple[str, float]]:
        times: dict[str, float] = {}
        while time.monotonic() - started < _ROLL_TIMEOUT:
            response = self._output.unwrap(self._client.get('/v1/status'))
            live = [
                instance
                for instance in response['instances']
                if instance['seen_as'] in {'live', 'self'}
            ]
            elapsed = round(time.monotonic() - started, 3)
            for instance in live:
                if instance['generation'] >= generation:
                    times.setdefault(instance['name'], elapsed)
            if all(instance['generation'] >= generation for instance in live):
                break
            time.sleep(_POLL_INTERVAL)
        return sorted(times.items())


def _to_yaml(document: Any) -> str:
    return yaml.safe_dump(document, sort_keys=True)
