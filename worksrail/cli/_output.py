"""Output of the command-line tool: tables for people, JSON for programs."""

import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final, NoReturn

from rich.console import Console
from rich.table import Table

from worksrail.cli._connection import Failure
from worksrail.core.results import ResultCode

_WIDTH: Final = 140


@dataclass(frozen=True, slots=True)
class Output:
    """Prints outcomes; exits with the exit code of a failure."""

    as_json: bool
    """Print JSON instead of tables."""

    def table(
        self,
        title: str,
        columns: Sequence[str],
        rows: Iterable[Sequence[object]],
        document: object,
    ) -> None:
        """Print a table, or with ``as_json`` the document that it shows."""
        if self.as_json:
            self.document(document)
            return
        table = Table(title=title, title_justify='left')
        for column in columns:
            table.add_column(column)
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        Console(width=_WIDTH).print(table)

    def line(self, text: str, document: object) -> None:
        """Print a line, or with ``as_json`` the document that it sums up."""
        if self.as_json:
            self.document(document)
        else:
            sys.stdout.write(text + '\n')

    def document(self, document: object) -> None:
        """Print a document as JSON."""
        sys.stdout.write(json.dumps(document, indent=2, default=str) + '\n')

    def fail(self, failure: Failure) -> NoReturn:
        """Print a failure and exit with the exit code of its result code."""
        code = failure.code
        if self.as_json:
            self.document({'result': code.number, **failure.document})
        else:
            sys.stderr.write(
                f'{code.number} {code.name}: {code.value.meaning}\n'
                f'{code.value.advice}\n'
            )
            detail = failure.document.get('detail')
            if detail:
                sys.stderr.write(f'{detail}\n')
            for fault in failure.document.get('faults', ()):
                sys.stderr.write(_fault_line(fault))
        sys.exit(code.value.exit_code)

    def unwrap(self, outcome: Any | Failure) -> Any:
        """Return the outcome, or print it and exit if it is a failure."""
        if isinstance(outcome, Failure):
            self.fail(outcome)
        return outcome


def invalid_argument(detail: str) -> Failure:
    """Build the failure for an invalid argument."""
    return Failure(ResultCode.INVALID_ARGUMENT, {'detail': detail})


def _fault_line(fault: dict[str, Any]) -> str:
    return f'line {fault["line"]}: {fault["location"]}: {fault["problem"]}\n'
