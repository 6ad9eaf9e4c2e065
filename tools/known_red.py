"""A pytest plugin for the tests that KNOWN-RED.txt lists: they run, and their failures are passed over.

A listed test has to fail.  One that passes, is skipped or does not exist fails the run, and so does a list
that is too long or that cannot be read.  `./check` loads the plugin with `-p tools.known_red`; plain pytest
does not, and shows the listed tests as failed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

LIST_NAME = "KNOWN-RED.txt"
MOST_ENTRIES = 3
FIELD_SEPARATOR = " | "
COMMENT_START = "#"


class KnownRedError(ValueError):
    """The list cannot be read, or it is too long."""


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail, what makes it fail, and the issue that mends it."""

    test: str
    cause: str
    issue: int


def parse_line(line: str) -> KnownRed:
    """One entry of the list."""
    fields = [field.strip() for field in line.split(FIELD_SEPARATOR)]
    if len(fields) != 3 or not all(fields):
        raise KnownRedError(f"not 'test id | cause | issue': {line!r}")
    test, cause, issue = fields
    if not issue.isdecimal():
        raise KnownRedError(f"the issue is not a number: {line!r}")
    return KnownRed(test, cause, int(issue))


def parse(text: str) -> tuple[KnownRed, ...]:
    """All entries of the list; raises KnownRedError for a bad line, a repeated test or too many entries."""
    lines = [line.strip() for line in text.splitlines()]
    entries = tuple(parse_line(line) for line in lines if line and not line.startswith(COMMENT_START))
    if len({entry.test for entry in entries}) != len(entries):
        raise KnownRedError("a test is listed twice")
    if len(entries) > MOST_ENTRIES:
        raise KnownRedError(f"{len(entries)} tests are listed, {MOST_ENTRIES} at most may be")
    return entries


def read(path: Path) -> tuple[KnownRed, ...]:
    """The entries of the list at `path`, which has to exist."""
    try:
        return parse(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise KnownRedError(str(error)) from error


def not_failed(entries: Iterable[KnownRed], failed: frozenset[str]) -> list[KnownRed]:
    """The entries whose tests have not failed: they passed, were skipped or do not exist."""
    return [entry for entry in entries if entry.test not in failed]


class KnownRedPlugin:
    """Marks the listed tests as expected to fail, and holds the run to it."""

    def __init__(self, entries: tuple[KnownRed, ...]) -> None:
        self.entries = entries
        self.failed: set[str] = set()

    @pytest.hookimpl(trylast=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests; with several workers this happens in each of them."""
        by_test = {entry.test: entry for entry in self.entries}
        for item in items:
            entry = by_test.get(item.nodeid)
            if entry is not None:
                mark = pytest.mark.xfail(reason=f"{entry.cause} (issue {entry.issue})", strict=True)
                item.add_marker(mark, append=False)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a test that failed as it was expected to."""
        if report.skipped and hasattr(report, "wasxfail"):
            self.failed.add(report.nodeid)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run if a listed test has not failed."""
        if is_worker(session.config) or not not_failed(self.entries, frozenset(self.failed)):
            return
        if session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: TerminalReporter) -> None:
        """Print the listed tests, and which of them have not failed."""
        if not self.entries:
            return
        wrong = not_failed(self.entries, frozenset(self.failed))
        terminalreporter.section(f"{LIST_NAME}: {len(self.entries)} listed")
        for entry in self.entries:
            verdict = (
                "NOT FAILED (passed, skipped or not there): take it off" if entry in wrong else "known red"
            )
            terminalreporter.line(f"{verdict}: {entry.test} | {entry.cause} | {entry.issue}")


def is_worker(config: pytest.Config) -> bool:
    """Whether this process is one of several that run the tests, and not the one that sums up."""
    return hasattr(config, "workerinput")


def pytest_configure(config: pytest.Config) -> None:
    """Read the list and take up its handling; a list that cannot be read ends the run."""
    try:
        entries = read(config.rootpath / LIST_NAME)
    except KnownRedError as error:
        raise pytest.UsageError(f"{LIST_NAME}: {error}") from error
    config.pluginmanager.register(KnownRedPlugin(entries), "known-red")
