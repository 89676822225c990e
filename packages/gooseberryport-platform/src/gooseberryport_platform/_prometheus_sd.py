"""Client of a VM list in the format of Prometheus's HTTP service discovery."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import msgspec
from returns.result import Failure, Result, Success

from gooseberryport_core.decoding import (
    InputError,
    decode_json,
    decode_with,
    parse_count,
    split_json_array,
)
from gooseberryport_core.events import ListedVm
from gooseberryport_core.types import Incarnation, VmId, VmState, ZoneName
from gooseberryport_platform._http import Answer, Call, HttpCaller, parse_address
from gooseberryport_platform.calls import CallCounter, CallKind
from gooseberryport_platform.errors import (
    AddressInvalidError,
    AnswerMalformedError,
    ServiceError,
    ServiceFailedError,
)
from gooseberryport_platform.vm_list import VmListSettings

MAX_ANSWER_BYTES = 8_388_608


class _Labels(msgspec.Struct):
    """Labels of a target group."""

    vm: str = ""
    availability_zone: str = ""
    state: str = VmState.LIVE.value
    incarnation: str = "0"


class _Group(msgspec.Struct):
    """One target group."""

    targets: list[str]
    labels: _Labels = msgspec.field(default_factory=_Labels)


_groups_decoder = msgspec.json.Decoder(list[_Group])


class PrometheusVmList:
    """Client of a VM list in the format of Prometheus's HTTP service discovery.

    Parameters
    ----------
    settings
        Address and limits of the VM list.
    counter
        Counts every call.
    """

    def __init__(self, *, settings: VmListSettings, counter: CallCounter) -> None:
        self._settings = settings
        self._http = HttpCaller(
            address=settings.address,
            connections=1,
            max_answer_bytes=MAX_ANSWER_BYTES,
            counter=counter,
        )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def read(self) -> Result[tuple[ListedVm, ...], ServiceError]:
        """Read the list; groups that can't be decoded and invalid entries are skipped."""
        call = Call(CallKind.VM_LIST, "GET", self._settings.path, self._settings.timeout_s)
        answer = self._http.call_with_retries(call, attempts=self._settings.read_attempts)
        return answer.bind(self._decode_list)

    def _decode_list(self, answer: Answer) -> Result[tuple[ListedVm, ...], ServiceError]:
        if answer.status != 200:
            detail = f"the VM list answered {answer.status}"
            return Failure(ServiceFailedError(address=self._http.address, detail=detail))
        try:
            groups = _decode_groups(answer.body)
        except InputError as exc:
            return Failure(AnswerMalformedError(address=self._http.address, detail=str(exc)))
        return Success(tuple(vm for group in groups for vm in _valid_vms(group)))


def _decode_groups(data: bytes) -> list[_Group]:
    """Return the groups of a list; if some can't be decoded, the others.

    Raises
    ------
    InputError
        The data is not an array, or none of its elements is a group.
    """
    try:
        return decode_with(_groups_decoder.decode, data)
    except InputError:
        groups = []
        for element in split_json_array(data):
            with contextlib.suppress(InputError):
                groups.append(decode_json(element, expected_type=_Group))
        if not groups:
            raise
        return groups


def _valid_vms(group: _Group) -> Iterator[ListedVm]:
    labels = group.labels
    for target in group.targets:
        try:
            parse_address(target)
            state = VmState(labels.state)
            incarnation = parse_count(labels.incarnation.encode())
        except (AddressInvalidError, ValueError):
            continue
        if incarnation is None:
            continue
        name = VmId(labels.vm or target)
        yield ListedVm(
            name, ZoneName(labels.availability_zone), state, target, Incarnation(incarnation)
        )
