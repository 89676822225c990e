"""Make one checked configuration from a folder of small JSON files.

Each file is a JSON object whose members are sections of `Config`. Files are merged in the order
of their names, member by member (RFC 7386): a later file overrides a field, null deletes it.
"""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterable, Mapping
from typing import Any, NoReturn

import msgspec
from returns.result import Failure, Result, Success

from gooseberryport_core._config_checks import (
    ConfigProblem,
    Finding,
    Severity,
    check_config,
)
from gooseberryport_core._config_schema import (
    ALL_SECTIONS,
    BLOCKS_SECTION,
    LIMITS_SECTION,
    SECTIONS,
    config_schema,
)
from gooseberryport_core.config import Config, Limits
from gooseberryport_core.types import ConfigVersion

__all__ = [
    "CheckedConfig",
    "ConfigProblem",
    "Severity",
    "check_files",
    "config_schema",
    "load_config",
]

MANY_FILES = "(merged)"
"""Shown as the file of a problem that no single file holds."""

UNIT_SUFFIXES = ("_s", "_ms", "_mbit_s", "_bytes", "_fraction")
MIN_UNIT_STEM = 3


class CheckedConfig(msgspec.Struct, frozen=True):
    """Give the configuration that some files make, with every problem found.

    Parameters
    ----------
    cfg
        The configuration, or None if an error keeps it from being used.
    problems
        Errors and warnings.
    """

    cfg: Config | None
    problems: tuple[ConfigProblem, ...]

    @property
    def errors(self) -> tuple[ConfigProblem, ...]:
        """The problems that keep the configuration from being used."""
        return tuple(p for p in self.problems if p.severity == Severity.ERROR)

    @property
    def warnings(self) -> tuple[ConfigProblem, ...]:
        """The problems that don't."""
        return tuple(p for p in self.problems if p.severity == Severity.WARNING)


def load_config(
    files: Mapping[str, bytes], version: int
) -> Result[Config, tuple[ConfigProblem, ...]]:
    """Merge and check configuration files.

    Parameters
    ----------
    files
        Content of each file, by name.
    version
        Number that the configuration gets.

    Returns
    -------
    Result
        The configuration, or every error found. Warnings are told by `check_files` only.
    """
    checked = check_files(files, version)
    if checked.cfg is None:
        return Failure(checked.errors)
    return Success(checked.cfg)


def check_files(files: Mapping[str, bytes], version: int = 0) -> CheckedConfig:
    """Merge and check configuration files, and tell errors and warnings.

    Parameters
    ----------
    files
        Content of each file, by name.
    version
        Number that the configuration gets.
    """
    merged = _Merge()
    for name in sorted(files):
        merged.add(name, files[name])
    decoder = _Decoder(merged)
    cfg = decoder.decode(ConfigVersion(version))
    problems = [*merged.problems, *merged.to_problems(decoder.findings)]
    if not problems:
        problems.extend(merged.to_problems(check_config(cfg)))
    failed = any(problem.severity == Severity.ERROR for problem in problems)
    return CheckedConfig(None if failed else cfg, tuple(problems))


class _BadFileError(Exception):
    """A file can't be read as JSON."""


class _Merge:
    """Files merged so far, with the file that set each field."""

    def __init__(self) -> None:
        self.sections: dict[str, Any] = {}
        self.problems: list[ConfigProblem] = []
        self._origins: dict[tuple[str, ...], str] = {}

    def add(self, name: str, content: bytes) -> None:
        """Merge one more file over those before it."""
        try:
            parsed = _parse(content)
        except _BadFileError as exc:
            remedy = "mend the file's JSON"
            self.problems.append(ConfigProblem(name, "(file)", "", str(exc), remedy))
            return
        if not isinstance(parsed, dict):
            remedy = f"write an object with some of {', '.join(ALL_SECTIONS)}"
            problem = ConfigProblem(name, "(file)", _show(parsed), "not a JSON object", remedy)
            self.problems.append(problem)
            return
        self._patch(self.sections, parsed, (), name)

    def to_problems(self, findings: Iterable[Finding]) -> list[ConfigProblem]:
        """Return findings as problems, each with the file that it comes from."""
        return [
            ConfigProblem(
                self._file_of(finding.path),
                ".".join(finding.path),
                _show(finding.value),
                finding.message,
                finding.remedy,
                finding.severity,
            )
            for finding in findings
        ]

    def _patch(
        self, target: dict[str, Any], patch: dict[str, Any], path: tuple[str, ...], file: str
    ) -> None:
        for key, value in patch.items():
            here = (*path, key)
            if value is None:
                target.pop(key, None)
                continue
            self._origins[here] = file
            if not isinstance(value, dict):
                target[key] = value
                continue
            if not isinstance(target.get(key), dict):
                target[key] = {}
            self._patch(target[key], value, here, file)

    def _file_of(self, path: tuple[str, ...]) -> str:
        for length in range(len(path), 0, -1):
            if path[:length] in self._origins:
                return self._origins[path[:length]]
        return MANY_FILES


def _parse(content: bytes) -> Any:
    try:
        return json.loads(
            content.decode(), object_pairs_hook=_unique_members, parse_constant=_refuse_constant
        )
    except UnicodeDecodeError as exc:
        raise _BadFileError(f"not UTF-8 at byte {exc.start}") from exc
    except json.JSONDecodeError as exc:
        message = f"not JSON: {exc.msg} at line {exc.lineno} column {exc.colno}"
        raise _BadFileError(message) from exc
    except RecursionError as exc:
        raise _BadFileError("nested too deeply") from exc


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for key, value in pairs:
        if key in members:
            raise _BadFileError(f"member {key!r} stands twice in one object")
        members[key] = value
    return members


def _refuse_constant(text: str) -> NoReturn:
    raise _BadFileError(f"{text} is not a JSON number")


def _show(value: object) -> str:
    if value == "":
        return ""
    return json.dumps(value, default=str)


class _Decoder:
    """Turn merged sections into typed parts, and note every field that doesn't fit."""

    def __init__(self, merged: _Merge) -> None:
        self.findings: list[Finding] = []
        self._sections = merged.sections

    def decode(self, version: ConfigVersion) -> Config:
        """Return the configuration; parts that don't fit are left out."""
        parts: dict[str, Any] = {}
        for name, value in self._sections.items():
            if name not in ALL_SECTIONS:
                self._note_unknown((name,), value, ALL_SECTIONS)
            elif not isinstance(value, dict):
                self._note((name,), value, "not an object", "write an object in braces")
            elif name in SECTIONS:
                parts[name] = self._entries(name, value, SECTIONS[name])
            elif name == BLOCKS_SECTION:
                parts[name] = self._blocks(value)
            else:
                parts[name] = self._entry((LIMITS_SECTION,), value, Limits) or Limits()
        return Config(version=version, **parts)

    def _entries(
        self, section: str, value: dict[str, Any], entry_type: type[msgspec.Struct]
    ) -> dict[str, Any]:
        decoded = {name: self._entry((section, name), value[name], entry_type) for name in value}
        return {name: entry for name, entry in decoded.items() if entry is not None}

    def _blocks(self, value: dict[str, Any]) -> dict[str, str]:
        for block, zone in value.items():
            if not isinstance(zone, str):
                remedy = "give the name of an availability zone"
                self._note((BLOCKS_SECTION, block), zone, "not a text", remedy)
        return {block: zone for block, zone in value.items() if isinstance(zone, str)}

    def _entry(
        self, path: tuple[str, ...], value: Any, entry_type: type[msgspec.Struct]
    ) -> msgspec.Struct | None:
        if not isinstance(value, dict):
            self._note(path, value, "not an object", "write an object in braces")
            return None
        before = len(self.findings)
        fields = {field.name: field for field in msgspec.structs.fields(entry_type)}
        for name, item in value.items():
            if name not in fields:
                self._note_unknown((*path, name), item, tuple(fields))
                continue
            try:
                msgspec.convert(item, fields[name].type)
            except msgspec.ValidationError as exc:
                remedy = f"give {_kind_of(fields[name].type)}"
                self._note((*path, name), item, str(exc).split(" - at ")[0].lower(), remedy)
        for name, field in fields.items():
            if field.required and name not in value:
                remedy = f"give {_kind_of(field.type)}"
                self._note((*path, name), "", "missing", remedy)
        if len(self.findings) > before:
            return None
        return msgspec.convert(value, entry_type)

    def _note(self, path: tuple[str, ...], value: object, message: str, remedy: str) -> None:
        self.findings.append(Finding(path, value, message, remedy))

    def _note_unknown(self, path: tuple[str, ...], value: object, known: tuple[str, ...]) -> None:
        near = _same_stem(path[-1], known) or difflib.get_close_matches(path[-1], known, n=1)
        remedy = f"did you mean {near[0]}?" if near else f"use one of {', '.join(known)}"
        self._note(path, value, "unknown field", remedy)


def _same_stem(name: str, known: tuple[str, ...]) -> list[str]:
    """Return the known fields that differ from a name in the unit at its end only."""
    stem = _without_unit(name)
    if len(stem) < MIN_UNIT_STEM:
        return []
    return [field for field in known if _without_unit(field) == stem]


def _without_unit(name: str) -> str:
    for suffix in sorted(UNIT_SUFFIXES, key=len, reverse=True):
        if name.endswith(suffix):
            return name.removesuffix(suffix)
    return name


def _kind_of(field_type: Any) -> str:
    kinds = {int: "a whole number", float: "a number", str: "a text"}
    return kinds.get(getattr(field_type, "__supertype__", field_type), "a list of texts")
