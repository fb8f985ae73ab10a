"""Tests of the requests that are made from submitted items."""

from __future__ import annotations

from dataclasses import replace

import pytest

from test_unframed_answers import RunHarness


# Guards against an item whose headers change where its request ends, or whose
# it is.
def test_headers_of_an_item_do_not_replace_those_of_its_run() -> None:
    """Each header that the run sets is sent once, with its value."""
    submitted = (
        ('Attempt-Id', 'r9'),
        ('Host', 'other.example'),
        ('Content-Length', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('Connection', 'x-hop'),
        ('X-Hop', '1'),
        ('Expect-Instance', 'e9'),
        ('Last-Event-Id', '7'),
        ('Model', 'm'),
    )
    run = RunHarness.at(1).run
    run.progress.record = replace(run.progress.record, headers=submitted)
    lines = run.encode(b'{}').partition(b'\r\n\r\n')[0].split(b'\r\n')
    assert sorted(lines[1:]) == [
        b'attempt-id: i1',
        b'content-length: 2',
        b'deadline-ms: 60000',
        b'expect-instance: e1',
        b'host: h.example',
        b'model: m',
    ]


@pytest.mark.parametrize('organisation', ['', 'depot'])
def test_item_names_no_organisation_and_no_key(organisation: str) -> None:
    """Guards against an item that runs as that of another organisation.

    Its job may have been accepted before the organisations were configured.
    """
    run = RunHarness.at(1).run
    run.context = replace(run.context, needs_keys=lambda: True)
    run.job.record = replace(run.job.record, organisation=organisation)
    submitted = (
        ('Tenant', 'hotel'),
        ('AUTHORIZATION', 'Bearer k'),
        ('Connection', 'tenant, attempt-id'),
    )
    run.progress.record = replace(run.progress.record, headers=submitted)
    lines = run.encode(b'{}').partition(b'\r\n\r\n')[0].split(b'\r\n')
    named = [line for line in lines if line.startswith((b'ten', b'auth'))]
    assert named == ([b'tenant: depot'] if organisation else [])


def test_headers_of_an_item_are_its_own_without_organisations() -> None:
    """Guards against changes where the operator configures no keys."""
    run = RunHarness.at(1).run
    submitted = (('Tenant', 'hotel'), ('Authorization', 'Bearer k'))
    run.progress.record = replace(run.progress.record, headers=submitted)
    head = run.encode(b'{}').partition(b'\r\n\r\n')[0]
    assert b'tenant: hotel\r\n' in head
    assert b'authorization: Bearer k\r\n' in head
