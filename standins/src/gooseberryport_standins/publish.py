"""Publishing configuration files directly to the key-value store, for tests and benchmarks."""

from __future__ import annotations

import time
import uuid
from collections.abc import Mapping

import msgspec

from gooseberryport_core.config import Config
from gooseberryport_core.config_store import (
    HEAD_KEY,
    Draft,
    decode_head,
    encode_head,
    plan_publication,
)
from gooseberryport_core.types import ConfigVersion, Revision
from gooseberryport_platform import Store, confirmed_swap

ABSENT = Revision(0)


def publish_files(store: Store, files: Mapping[str, bytes | None]) -> ConfigVersion:
    """Publish files in addition to those already published, and return the new version.

    Raises the error of the first step that fails.

    Parameters
    ----------
    store
        The key-value store.
    files
        Content of each file by name; None deletes a file.
    """
    current = store.get(HEAD_KEY).unwrap()
    draft = Draft(dict(files), "standins", "", time.time(), uuid.uuid4().hex)
    publication = plan_publication(decode_head(current.value), draft).unwrap()
    for key, value in publication.parts.items():
        confirmed_swap(store, key, value, ABSENT).unwrap()
    if publication.past_key:
        confirmed_swap(store, publication.past_key, publication.past, ABSENT).unwrap()
    head = encode_head(publication.head)
    confirmed_swap(store, HEAD_KEY, head, current.revision).unwrap()
    return publication.head.version


def publish_config(store: Store, cfg: Config) -> ConfigVersion:
    """Publish a configuration as a single file, and return its version."""
    fields = msgspec.to_builtins(cfg)
    del fields["version"]
    return publish_files(store, {"config.json": msgspec.json.encode(fields)})
