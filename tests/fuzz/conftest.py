"""Property tests read their own source text before they play."""

import gc

import pytest


# A destructor that fails while the source is parsed, such as that of a stream
# whose event loop has been closed, makes the parser of Python 3.11 fail.
@pytest.fixture(autouse=True)
def collect_garbage() -> None:
    """Run the destructors of what earlier tests have left."""
    gc.collect()
