import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from gooseberryport_core._invariants import raise_on_violation


@pytest.fixture(autouse=True)
def broken_invariants_raise() -> Iterator[None]:
    with raise_on_violation():
        yield
