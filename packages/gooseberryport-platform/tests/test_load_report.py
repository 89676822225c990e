import pytest

from gooseberryport_core.types import UpstreamId
from gooseberryport_platform.load_report import LoadReports, open_load_reports
from gooseberryport_standins._server import Exchange, open_server
from gooseberryport_standins.faults import Outage, UpstreamFaults
from gooseberryport_standins.upstream import UpstreamSpec, open_fleet

NAME = UpstreamId("reg-1")


def read(reports: LoadReports, address: str) -> object:
    return reports.read(NAME, address, "/load")


@pytest.mark.parametrize(
    ("faults", "in_flight", "leaving", "min_age_s", "max_age_s"),
    [
        (UpstreamFaults(), 0, False, 0.0, 2.0),
        (UpstreamFaults(load_value=99), 99, False, 0.0, 2.0),
        (UpstreamFaults(load_lag_s=30.0), 0, False, 28.0, 32.0),
        (UpstreamFaults(leaving=True), 0, True, 0.0, 2.0),
    ],
)
def test_report_is_returned_with_its_age(
    faults: UpstreamFaults, in_flight: int, leaving: bool, min_age_s: float, max_age_s: float
) -> None:
    with open_fleet((UpstreamSpec(NAME),)) as fleet, open_load_reports() as reports:
        fleet.upstreams[NAME].set_faults(faults)
        report = read(reports, fleet.addresses[NAME]).unwrap()
    assert (report.upstream, report.in_flight, report.leaving) == (NAME, in_flight, leaving)
    assert min_age_s <= report.age_s <= max_age_s


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.HANG, Outage.ERROR])
def test_missing_report_is_an_error_and_not_an_idle_upstream(outage: Outage) -> None:
    with open_fleet((UpstreamSpec(NAME),)) as fleet, open_load_reports() as reports:
        fleet.upstreams[NAME].set_faults(UpstreamFaults(outage=outage))
        assert fleet.addresses[NAME] in str(read(reports, fleet.addresses[NAME]).failure())


@pytest.mark.parametrize(
    ("body", "in_flight"),
    [
        (b'# HELP x y\n\nrequests_in_flight{port="1"} 3 1700000000000\nother 1\n', 3),
        (b"requests_in_flight NaN\n", None),
        (b"requests_in_flight -1\n", None),
        (b"requests_in_flight\nup one\n", None),
        (b"<html>", None),
    ],
)
def test_text_format_is_parsed_and_malformed_report_is_an_error(
    body: bytes, in_flight: int | None
) -> None:
    class FixedAnswer:
        def serve(self, exchange: Exchange) -> None:
            exchange.answer(200, body)

    with open_server(FixedAnswer()) as server, open_load_reports() as reports:
        result = read(reports, server.address)
    if in_flight is None:
        assert "requests_in_flight" in str(result.failure())
    else:
        assert result.unwrap().in_flight == in_flight
