"""``worksrail``: the operators' command-line tool."""

import os
import sys
from pathlib import Path
from typing import Final

import fire

from worksrail.cli._bundles import BundleCommands
from worksrail.cli._connection import OperatorClient
from worksrail.cli._keys import KeyCommands
from worksrail.cli._logs import show_logs
from worksrail.cli._losses import show_losses
from worksrail.cli._output import Output, invalid
from worksrail.cli._views import (
    change_drain,
    show_explanation,
    show_status,
    show_timeline,
)

_JSON: Final = '--json'
_JSON_ON: Final = '--json=True'


class Worksrail:
    """Drives worksrail: bundles, drains, status, time line, keys.

    ``--entries`` (WORKSRAIL_ENTRIES) names operator addresses of entries,
    ``--token`` (WORKSRAIL_TOKEN) the operator's token.  ``--json`` prints
    JSON.
    """

    def __init__(
        self,
        entries: str = '',
        token: str = '',
        json: bool = False,
    ) -> None:
        """Take the flags that all commands share."""
        known = entries or os.environ.get('WORKSRAIL_ENTRIES', '')
        if isinstance(known, (tuple, list)):
            known = ','.join(known)
        addresses = tuple(part for part in known.split(',') if part)
        secret = token or os.environ.get('WORKSRAIL_TOKEN', '')
        self._client = OperatorClient(addresses, secret)
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
        wanted = {
            'trace': str(request),
            'subject': upstream,
            'generation': str(generation),
            'kind': kind,
        }
        filters = {name: text for name, text in wanted.items() if text}
        show_timeline(self._client, self._output, filters, follow=follow)

    def logs(
        self,
        *files: str,
        request: str = '',
        subject: str = '',
    ) -> None:
        """Show what log files say of a request, an upstream or an entry."""
        self._expect_files(files)
        show_logs(self._output, files, str(request), str(subject))

    def losses(self, *files: str, every: float = 2) -> None:
        """Show why callers lost, by interval, from log files of entries."""
        self._expect_files(files)
        if every <= 0:
            self._output.fail(invalid(f'expected seconds, got {every}'))
        show_losses(self._output, files, every)

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
        """Take a drain off the list."""
        change_drain(self._client, self._output, target, add=False)

    def _expect_files(self, files: tuple[str, ...]) -> None:
        missing = [name for name in files if not Path(name).is_file()]
        if missing or not files:
            self._output.fail(
                invalid(f'expected log files, got {", ".join(missing)}')
            )


def main() -> None:
    """Run the tool."""
    # Without a value the flag would take the next word as its value.
    command = [_JSON_ON if word == _JSON else word for word in sys.argv[1:]]
    fire.Fire(Worksrail, command, name='worksrail')


if __name__ == '__main__':
    main()
