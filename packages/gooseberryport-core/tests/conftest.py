from collections.abc import Iterator

import pytest

from gooseberryport_core._invariants import raising


@pytest.fixture(autouse=True)
def broken_invariants_raise() -> Iterator[None]:
    with raising():
        yield
