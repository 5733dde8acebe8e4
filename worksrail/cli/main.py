"""``worksrail``: the operators' command-line tool."""

import os
import sys
from pathlib import Path
from typing import Final

import fire

from worksrail.cli._bundles import BundleCommands
from worksrail.cli._connection import OperatorClient
from worksrail.cli._departures import show_departures
from worksrail.cli._keys import KeyCommands
from worksrail.cli._late import show_late
from worksrail.cli._logs import show_logs
from worksrail.cli._losses import show_losses
from worksrail.cli._output import Output, invalid_argument
from worksrail.cli._repeats import show_repeats
from worksrail.cli._served import show_served
from worksrail.cli._stops import show_stops
from worksrail.cli._views import (
    change_drain,
    show_explanation,
    show_status,
    show_timeline,
)

_JSON_FLAG: Final = '--json'
_JSON_TRUE: Final = '--json=True'


class Worksrail:
    """Operates worksrail: bundles, drains, status, time line, keys.

    ``--entries`` (WORKSRAIL_ENTRIES) lists operator addresses of entries,
    ``--token`` (WORKSRAIL_TOKEN) is the operator's token.  ``--json`` prints
    JSON.
    """

    def __init__(
        self,
        entries: str = '',
        token: str = '',
        json: bool = False,
    ) -> None:
        """Read the flags that all commands share."""
        addresses = entries or os.environ.get('WORKSRAIL_ENTRIES', '')
        if isinstance(addresses, (tuple, list)):
            addresses = ','.join(addresses)
        entry_addresses = tuple(part for part in addresses.split(',') if part)
        secret = token or os.environ.get('WORKSRAIL_TOKEN', '')
        self._client = OperatorClient(entry_addresses, secret)
        self._output = Output(json)
        self.bundle = BundleCommands(self._client, self._output)
        self.keys = KeyCommands(self._output)

    def status(self) -> None:
        """Show entries, generations, permits, headroom and drains."""
        show_status(self._client, self._output)

    def explain(self, client: str, service: str) -> None:
        """Show what a caller at an address would get now, and why."""
        show_explanation(self._client, self._output, client, service)

    def timeline(
        self,
        request: str = '',
        upstream: str = '',
        generation: str = '',
        kind: str = '',
        follow: bool = False,
    ) -> None:
        """Show the events of all entries, merged in causal order."""
        options = {
            'trace': str(request),
            'subject': upstream,
            'generation': str(generation),
            'kind': kind,
        }
        filters = {name: text for name, text in options.items() if text}
        show_timeline(self._client, self._output, filters, follow=follow)

    def logs(
        self,
        *files: str,
        request: str = '',
        subject: str = '',
    ) -> None:
        """Show the log lines about a request, an upstream or an entry."""
        self._check_files_exist(files)
        show_logs(self._output, files, str(request), str(subject))

    def losses(self, *files: str, every: float = 2) -> None:
        """Show causes of lost requests, by interval, from log files."""
        self._check_files_exist(files)
        if every <= 0:
            self._output.fail(
                invalid_argument(f'expected seconds, got {every}')
            )
        show_losses(self._output, files, every)

    def departures(self, *files: str) -> None:
        """Show what became of requests whose callers left, from log files."""
        self._check_files_exist(files)
        show_departures(self._output, files)

    def late(self, *files: str) -> None:
        """Show causes of late answers, and rejections, from log files."""
        self._check_files_exist(files)
        show_late(self._output, files)

    def served(
        self,
        *files: str,
        every: float = 2,
        customers: int = 8,
        plot: str = '',
    ) -> None:
        """Show who was served, late or refused, by interval, from log files.

        The largest customers are shown by name, the others summed.  With the
        name of a file, a text plot of the shares served in time is written
        there.
        """
        self._check_files_exist(files)
        if every <= 0 or customers < 0:
            expected = 'expected seconds and a number of customers'
            self._output.fail(
                invalid_argument(f'{expected}, got {every}, {customers}')
            )
        show_served(self._output, files, every, customers, str(plot))

    def repeats(self, *files: str) -> None:
        """Show the fullest windows of retry budgets, from log files."""
        self._check_files_exist(files)
        show_repeats(self._output, files)

    def stops(self, *files: str) -> None:
        """Show what became of requests during stops, from log files."""
        self._check_files_exist(files)
        show_stops(self._output, files)

    def drain(
        self,
        target: str,
        dry_run: bool = False,
        wait: bool = False,
        force: bool = False,
    ) -> None:
        """Drain ``upstream/NAME``, ``zone/NAME`` or ``entry/NAME``."""
        change_drain(
            self._client,
            self._output,
            target,
            add=True,
            dry_run=dry_run,
            force=force,
            wait=wait,
        )

    def undrain(self, target: str) -> None:
        """Remove a drain from the list."""
        change_drain(self._client, self._output, target, add=False)

    def _check_files_exist(self, files: tuple[str, ...]) -> None:
        missing = [name for name in files if not Path(name).is_file()]
        if missing or not files:
            self._output.fail(
                invalid_argument(
                    f'expected log files, got {", ".join(missing)}'
                )
            )


def main() -> None:
    """Run the tool."""
    # Without a value the flag would consume the next argument as its value.
    command = [
        _JSON_TRUE if argument == _JSON_FLAG else argument
        for argument in sys.argv[1:]
    ]
    fire.Fire(Worksrail, command, name='worksrail')


if __name__ == '__main__':
    main()
