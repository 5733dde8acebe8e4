"""Decoding of JSON that other writers have put into the store."""

import json
import re
from collections.abc import Iterator
from typing import Any, Final

# Digits of the longest integer that is read exactly; nobody reads a longer one.
_MAX_DIGITS: Final = 20
# Depth from which a value is dropped; documents of the platform are shallow.
_MAX_DEPTH: Final = 64
# A bracket, or a whole string, whose brackets do not count.
_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def parse_json(body: bytes) -> Any:
    """Decode an answer of the store; raise ``ValueError`` if it is no JSON.

    A value that cannot be read must not make the others unreadable.  Invalid
    UTF-8 is replaced, an integer with very many digits becomes a float, and
    what is nested very deeply becomes null.

    >>> parse_json(b'{"Slots": 9, "Sequence": ' + b'9' * 5000 + b'}')
    {'Slots': 9, 'Sequence': inf}
    """
    text = body.decode(errors='replace')
    try:
        return _parse(text)
    except RecursionError:
        return _parse(''.join(_without_deep_values(text)))


def _parse(text: str) -> Any:
    return json.loads(text, strict=False, parse_int=_parse_integer)


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)


def _without_deep_values(text: str) -> Iterator[str]:
    """Yield the parts of a text with null in the place of deep values."""
    depth = 0
    copied = 0
    for token in _TOKEN.finditer(text):
        if token[0] in '[{':
            depth += 1
            if depth == _MAX_DEPTH:
                yield text[copied : token.start()]
        elif token[0] in ']}':
            if depth == _MAX_DEPTH:
                yield 'null'
                copied = token.end()
            depth -= 1
    if depth < _MAX_DEPTH:
        yield text[copied:]
