"""``make docs``: the pages that are generated from the code.

A test compares the committed pages with the output of this module.
"""

from collections import defaultdict
from pathlib import Path
from typing import Final

import fire

from worksrail.bench.scenarios import Scenario, parse_scenarios
from worksrail.core.results import ResultCode
from worksrail.daemon._settings import setting_table

_ROOT: Final = Path(__file__).resolve().parents[2]
_SCENARIOS: Final = _ROOT / 'tests' / 'scenarios'


def results_page() -> str:
    """Render the table of result codes."""
    lines = [
        '# Result codes',
        '',
        'Every refusal carries one of these numbers, in the header',
        '`Worksrail-Result` and in the body. *Not run* is certain; *unknown*',
        'means that the request may have run. Exit codes are those of the',
        'command-line tool. This page is written by `make docs`.',
        '',
        '| number | name | request | HTTP | exit | meaning | what to do |',
        '|---|---|---|---|---|---|---|',
    ]
    for code in ResultCode:
        row = code.value
        lines.append(
            f'| {row.number} | {code.name} | {row.certainty.value} '
            f'| {row.http_status} | {row.exit_code} | {row.meaning} '
            f'| {row.advice} |'
        )
    return '\n'.join(lines) + '\n'


def settings_page() -> str:
    """Render the table of the daemon's settings."""
    lines = [
        '# Settings of `worksraild`',
        '',
        'Each setting is a flag and an environment variable; the flag wins.',
        'All are checked at start: everything wrong is named at once, and',
        'nothing is half-started. `worksraild --check` does only that. This',
        'page is written by `make docs`.',
        '',
        '| flag | variable | default | meaning |',
        '|---|---|---|---|',
    ]
    for flag, variable, default, text in setting_table():
        lines.append(f'| `{flag}` | `{variable}` | {default} | {text} |')
    return '\n'.join(lines) + '\n'


def scenarios_page() -> str:
    """Render the matrix of scenarios: what fails against what must hold."""
    scenarios = _load_scenarios()
    cells: dict[tuple[str, str], list[int]] = defaultdict(list)
    for number, scenario in enumerate(scenarios, start=1):
        for failure in scenario.fails:
            for promise in scenario.holds:
                cells[failure, promise].append(number)
    failures = sorted({fail for one in scenarios for fail in one.fails})
    promises = sorted({hold for one in scenarios for hold in one.holds})
    lines = [
        '# Scenarios',
        '',
        'What fails (rows) against what must hold (columns); the numbers name',
        'the scenarios below. All promises are checked in every scenario; a',
        'column lists those that aim at it. This page is written by',
        '`make docs` from `tests/scenarios`.',
        '',
        f'| | {" | ".join(promises)} |',
        f'|---{"|---" * len(promises)}|',
    ]
    for failure in failures:
        row = [
            ' '.join(str(number) for number in cells[failure, promise])
            for promise in promises
        ]
        lines.append(f'| {failure} | {" | ".join(row)} |')
    lines.append('')
    for number, scenario in enumerate(scenarios, start=1):
        lines.append(f'{number}. {scenario.title}')
    return '\n'.join(lines) + '\n'


PAGES: Final = {
    'RESULTS.md': results_page,
    'SETTINGS.md': settings_page,
    'SCENARIOS.md': scenarios_page,
}


def main(folder: str = 'docs') -> None:
    """Write all pages into a folder."""
    for name, page in PAGES.items():
        (Path(folder) / name).write_text(page())


def _load_scenarios() -> list[Scenario]:
    return [
        scenario
        for file in sorted(_SCENARIOS.glob('*.scn'))
        for scenario in parse_scenarios(file.read_text())
    ]


if __name__ == '__main__':
    fire.Fire(main)
