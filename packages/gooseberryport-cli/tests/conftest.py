import io
import json
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest
from returns.result import Failure, Result, Success

from gooseberryport_cli.errors import DaemonError
from gooseberryport_cli.folders import read_files
from gooseberryport_cli.main import main
from gooseberryport_core.config_store import HEAD_KEY, Head, decode_head
from gooseberryport_core.events import StoreValue
from gooseberryport_core.status import Explanation, StatusPage
from gooseberryport_core.types import ConfigVersion, Revision
from gooseberryport_platform import ServiceError, SwapResult
from gooseberryport_platform.errors import AnswerLostError, ServiceUnreachableError

EXAMPLES = Path(__file__).parents[3] / "examples"


class FakeStore:
    """An in-memory key-value store whose calls can be made to fail.

    Each entry of `head_faults` makes one write of the head fail: after "lost before" the write is
    not applied, after "lost after" it is applied but its answer is lost.
    """

    def __init__(self) -> None:
        self.values: dict[str, StoreValue] = {}
        self.unavailable = False
        self.before_swap: deque[Callable[[str], None]] = deque()
        self.head_faults: deque[str] = deque()
        self._revision = 0

    def get(self, key: str) -> Result[StoreValue, ServiceError]:
        if self.unavailable:
            return Failure(ServiceUnreachableError(address="127.0.0.1:1", detail="refused"))
        return Success(self.values.get(key, StoreValue(key, b"", Revision(0))))

    def list_prefix(self, prefix: str) -> Result[tuple[StoreValue, ...], ServiceError]:
        return Success(tuple(v for k, v in sorted(self.values.items()) if k.startswith(prefix)))

    def swap(self, key: str, value: bytes, expected: Revision) -> Result[SwapResult, ServiceError]:
        if self.unavailable:
            return Failure(ServiceUnreachableError(address="127.0.0.1:1", detail="refused"))
        if key == HEAD_KEY and self.before_swap:
            self.before_swap.popleft()(key)
        fault = self.head_faults.popleft() if key == HEAD_KEY and self.head_faults else ""
        current = self.values.get(key, StoreValue(key, b"", Revision(0)))
        applied = current.revision == expected and fault != "lost before"
        if applied:
            self._revision += 1
            current = StoreValue(key, value, Revision(self._revision))
            self.values[key] = current
        if fault:
            return Failure(AnswerLostError(address="127.0.0.1:1", detail="no answer"))
        return Success(SwapResult(applied, current))

    def watch(self, key: str, after: Revision, wait_s: float) -> Result[StoreValue, ServiceError]:
        return self.get(key)


class FakeFolder:
    def __init__(self, files: Mapping[str, bytes]) -> None:
        self.files = dict(files)
        self.version: ConfigVersion | None = None

    def read(self) -> dict[str, bytes]:
        return dict(self.files)

    def base(self) -> ConfigVersion | None:
        return self.version

    def write(self, files: Mapping[str, bytes]) -> None:
        self.files = dict(files)

    def record_base(self, version: ConfigVersion) -> None:
        self.version = version

    def edit(self, file: str, section: str, name: str, **fields: object) -> None:
        content = json.loads(self.files.get(file, b"{}"))
        content.setdefault(section, {}).setdefault(name, {}).update(fields)
        self.files[file] = json.dumps(content).encode()


class FakeDaemonClient:
    def __init__(self) -> None:
        self.pages: deque[StatusPage] = deque()
        self.explanation: Explanation | None = None
        self.other_pages: tuple[StatusPage, ...] = ()

    def status_pages(self, addresses: Iterable[str]) -> tuple[StatusPage, ...]:
        return self.other_pages

    def status(self) -> StatusPage:
        if not self.pages:
            raise DaemonError(failures={"127.0.0.1:2": "refused"})
        return self.pages.popleft() if len(self.pages) > 1 else self.pages[0]

    def explain(self, service: str, client: str) -> Explanation:
        assert self.explanation is not None
        return self.explanation


class Runner:
    """Runs commands in this process, and is their environment."""

    def __init__(self) -> None:
        self.fake_store = FakeStore()
        self.fake_daemon_client = FakeDaemonClient()
        self.folders: dict[str, FakeFolder] = {}
        self.written: dict[str, str] = {}
        self.now = 1_000_000.0
        self.out = ""
        self.err = ""
        self._tokens = 0

    def run(self, *arguments: str, code: int = 0) -> str:
        out, err = io.StringIO(), io.StringIO()
        argv = ["--store=127.0.0.1:1", "--author=anna", *arguments]
        exit_code = main(argv, environment=self, out=out, err=err)
        self.out, self.err = out.getvalue(), err.getvalue()
        assert exit_code == code, (exit_code, self.out, self.err)
        return self.out

    def add_folder(self, name: str, deployment: str = "amt") -> FakeFolder:
        paths = (EXAMPLES / deployment).glob("*.json")
        self.folders[name] = FakeFolder({path.name: path.read_bytes() for path in paths})
        return self.folders[name]

    @property
    def head(self) -> Head:
        return decode_head(self.fake_store.get(HEAD_KEY).unwrap().value)

    @property
    def merged(self) -> dict[str, object]:
        return msgspec.json.decode(self.run("show", "--merged"))

    @contextmanager
    def store(self, address: str) -> Iterator[FakeStore]:
        yield self.fake_store

    def daemon_client(self, addresses: tuple[str, ...]) -> FakeDaemonClient:
        return self.fake_daemon_client

    def folder(self, path: str) -> FakeFolder:
        return self.folders[path]

    def read_files(self, path: str) -> dict[str, bytes]:
        return self.folders[path].read() if path in self.folders else read_files(path)

    def wall_time(self) -> float:
        return self.now

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def token(self) -> str:
        self._tokens += 1
        return f"token-{self._tokens}"

    def write_file(self, path: str, text: str) -> None:
        self.written[path] = text


@pytest.fixture
def runner() -> Runner:
    return Runner()
