"""Merges a folder of small JSON files into one checked configuration.

Each file is a JSON object whose members are sections of `Config`. Files are merged in the order
of their names, member by member, as JSON Merge Patch (RFC 7386): a later file overrides a field,
null deletes it.
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

MERGED_FILES_LABEL = "(merged)"
"""Shown as the file of a problem that belongs to no single file."""

UNIT_SUFFIXES = ("_s", "_ms", "_mbit_s", "_bytes", "_fraction")
MIN_STEM_LENGTH = 3
"""Minimum length of a field's name without its unit suffix for which a field with another unit is
suggested."""


class CheckedConfig(msgspec.Struct, frozen=True):
    """Configuration that was merged from files, with all its problems.

    Parameters
    ----------
    cfg
        The configuration; None if an error prevents its use.
    problems
        Errors and warnings.
    """

    cfg: Config | None
    problems: tuple[ConfigProblem, ...]

    @property
    def errors(self) -> tuple[ConfigProblem, ...]:
        """The problems that prevent the use of the configuration."""
        return tuple(p for p in self.problems if p.severity == Severity.ERROR)

    @property
    def warnings(self) -> tuple[ConfigProblem, ...]:
        """The problems that do not prevent the use of the configuration."""
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
        Version number of the configuration.

    Returns
    -------
    Result
        The configuration, or all its errors. Only `check_files` returns warnings.
    """
    checked = check_files(files, version)
    if checked.cfg is None:
        return Failure(checked.errors)
    return Success(checked.cfg)


def check_files(files: Mapping[str, bytes], version: int = 0) -> CheckedConfig:
    """Merge and check configuration files, and return errors and warnings.

    Parameters
    ----------
    files
        Content of each file, by name.
    version
        Version number of the configuration.
    """
    merged = _MergedFiles()
    for name in sorted(files):
        merged.add(name, files[name])
    decoder = _SectionDecoder(merged)
    cfg = decoder.decode(ConfigVersion(version))
    problems = [*merged.problems, *merged.to_problems(decoder.findings)]
    if not problems:
        problems.extend(merged.to_problems(check_config(cfg)))
    failed = any(problem.severity == Severity.ERROR for problem in problems)
    return CheckedConfig(None if failed else cfg, tuple(problems))


class _InvalidFileError(Exception):
    """A file is not valid JSON."""


class _MergedFiles:
    """Result of the files merged so far, with the file that set each field."""

    def __init__(self) -> None:
        self.sections: dict[str, Any] = {}
        self.problems: list[ConfigProblem] = []
        self._file_by_path: dict[tuple[str, ...], str] = {}

    def add(self, name: str, content: bytes) -> None:
        """Merge a file over the files before it."""
        try:
            parsed = _parse_json(content)
        except _InvalidFileError as exc:
            remedy = "correct the JSON of the file"
            self.problems.append(ConfigProblem(name, "(file)", "", str(exc), remedy))
            return
        if not isinstance(parsed, dict):
            remedy = f"write an object with some of the members {', '.join(ALL_SECTIONS)}"
            problem = ConfigProblem(name, "(file)", _to_json(parsed), "not a JSON object", remedy)
            self.problems.append(problem)
            return
        self._merge_patch(self.sections, parsed, (), name)

    def to_problems(self, findings: Iterable[Finding]) -> list[ConfigProblem]:
        """Return findings as problems, each with the file that caused it."""
        return [
            ConfigProblem(
                self._file_that_set(finding.path),
                ".".join(finding.path),
                _to_json(finding.value),
                finding.message,
                finding.remedy,
                finding.severity,
            )
            for finding in findings
        ]

    def _merge_patch(
        self, target: dict[str, Any], patch: dict[str, Any], path: tuple[str, ...], file: str
    ) -> None:
        for key, value in patch.items():
            member_path = (*path, key)
            if value is None:
                target.pop(key, None)
                continue
            self._file_by_path[member_path] = file
            if not isinstance(value, dict):
                target[key] = value
                continue
            if not isinstance(target.get(key), dict):
                target[key] = {}
            self._merge_patch(target[key], value, member_path, file)

    def _file_that_set(self, path: tuple[str, ...]) -> str:
        for length in range(len(path), 0, -1):
            if path[:length] in self._file_by_path:
                return self._file_by_path[path[:length]]
        return MERGED_FILES_LABEL


def _parse_json(content: bytes) -> Any:
    try:
        return json.loads(
            content.decode(), object_pairs_hook=_unique_members, parse_constant=_reject_constant
        )
    except UnicodeDecodeError as exc:
        raise _InvalidFileError(f"not UTF-8 at byte {exc.start}") from exc
    except json.JSONDecodeError as exc:
        message = f"not JSON: {exc.msg} at line {exc.lineno} column {exc.colno}"
        raise _InvalidFileError(message) from exc
    except RecursionError as exc:
        raise _InvalidFileError("nested too deeply") from exc
    except ValueError as exc:
        # A whole number with more digits than the interpreter converts.
        raise _InvalidFileError(f"not JSON: {exc}") from exc


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for key, value in pairs:
        if key in members:
            raise _InvalidFileError(f"member {key!r} appears twice in one object")
        members[key] = value
    return members


def _reject_constant(text: str) -> NoReturn:
    raise _InvalidFileError(f"{text} is not a JSON number")


def _to_json(value: object) -> str:
    if value == "":
        return ""
    return json.dumps(value, default=str)


class _SectionDecoder:
    """Converts merged sections to typed entries, and collects a finding for each invalid field."""

    def __init__(self, merged: _MergedFiles) -> None:
        self.findings: list[Finding] = []
        self._sections = merged.sections

    def decode(self, version: ConfigVersion) -> Config:
        """Return the configuration without the entries that are invalid."""
        parts: dict[str, Any] = {}
        for name, value in self._sections.items():
            if name not in ALL_SECTIONS:
                self._add_unknown_field((name,), value, ALL_SECTIONS)
            elif not isinstance(value, dict):
                self._add_finding((name,), value, "not an object", "write an object in braces")
            elif name in SECTIONS:
                parts[name] = self._decode_entries(name, value, SECTIONS[name])
            elif name == BLOCKS_SECTION:
                parts[name] = self._decode_blocks(value)
            else:
                parts[name] = self._decode_entry((LIMITS_SECTION,), value, Limits) or Limits()
        return Config(version=version, **parts)

    def _decode_entries(
        self, section: str, value: dict[str, Any], entry_type: type[msgspec.Struct]
    ) -> dict[str, Any]:
        decoded = {
            name: self._decode_entry((section, name), value[name], entry_type) for name in value
        }
        return {name: entry for name, entry in decoded.items() if entry is not None}

    def _decode_blocks(self, value: dict[str, Any]) -> dict[str, str]:
        for block, zone in value.items():
            if not isinstance(zone, str):
                remedy = "give the name of an availability zone"
                self._add_finding((BLOCKS_SECTION, block), zone, "not a string", remedy)
        return {block: zone for block, zone in value.items() if isinstance(zone, str)}

    def _decode_entry(
        self, path: tuple[str, ...], value: Any, entry_type: type[msgspec.Struct]
    ) -> msgspec.Struct | None:
        if not isinstance(value, dict):
            self._add_finding(path, value, "not an object", "write an object in braces")
            return None
        findings_before = len(self.findings)
        fields = {field.name: field for field in msgspec.structs.fields(entry_type)}
        for name, item in value.items():
            if name not in fields:
                self._add_unknown_field((*path, name), item, tuple(fields))
                continue
            try:
                msgspec.convert(item, fields[name].type)
            except msgspec.ValidationError as exc:
                remedy = f"give {_type_description(fields[name].type)}"
                self._add_finding((*path, name), item, str(exc).split(" - at ")[0].lower(), remedy)
        for name, field in fields.items():
            if field.required and name not in value:
                remedy = f"give {_type_description(field.type)}"
                self._add_finding((*path, name), "", "missing", remedy)
        if len(self.findings) > findings_before:
            return None
        return msgspec.convert(value, entry_type)

    def _add_finding(self, path: tuple[str, ...], value: object, message: str, remedy: str) -> None:
        self.findings.append(Finding(path, value, message, remedy))

    def _add_unknown_field(
        self, path: tuple[str, ...], value: object, known: tuple[str, ...]
    ) -> None:
        similar = _fields_with_same_stem(path[-1], known) or difflib.get_close_matches(
            path[-1], known, n=1
        )
        remedy = f"did you mean {similar[0]}?" if similar else f"use one of {', '.join(known)}"
        self._add_finding(path, value, "unknown field", remedy)


def _fields_with_same_stem(name: str, known: tuple[str, ...]) -> list[str]:
    """Return the known fields that differ from a name only in the unit suffix."""
    stem = _without_unit(name)
    if len(stem) < MIN_STEM_LENGTH:
        return []
    return [field for field in known if _without_unit(field) == stem]


def _without_unit(name: str) -> str:
    for suffix in sorted(UNIT_SUFFIXES, key=len, reverse=True):
        if name.endswith(suffix):
            return name.removesuffix(suffix)
    return name


def _type_description(field_type: Any) -> str:
    kinds = {int: "a whole number", float: "a number", str: "a string"}
    return kinds.get(getattr(field_type, "__supertype__", field_type), "a list of strings")
