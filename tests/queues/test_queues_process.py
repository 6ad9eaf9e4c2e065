"""Queues in real instances: by the installation file, through the command line."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from fleetkit import ROOT, fleet, installation, run, static

from brackengate.cli import main
from brackengate.http.message import IncomingRequest
from brackengate.installation.reading import BadFile, load
from brackengate.net.node import ClientInfo
from brackengate.queues import setup
from standins import http
from standins.upstream import Shape, Upstream

QUEUES = """
[limits]
sockets = 4096
memory = "2GB"
max_attempts = 4
[queues]
mode = "{mode}"
client = "header"
limit_least = 1
limit_start = 1
limit_most = 1
patience = "2s"
"""


async def command(*words: str | Path) -> str:
    argv = [sys.executable, "-m", "brackengate.cli", *map(str, words)]
    process = await asyncio.create_subprocess_exec(*argv, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
    out, _ = await process.communicate()
    assert process.returncode == 0, out
    return out.decode()


async def ask(port: int, txn: str, client: str, **more: object) -> http.Message:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = {"X-Txn": txn, "X-Lane": "pregled", "X-Remaining-Ms": 29_000, "X-Client": client, **more}
    writer.write(http.request("GET", "/api", headers))
    answer = await http.read(reader)
    writer.close()
    assert answer is not None
    return answer


@pytest.mark.parametrize("mode", ["on", "dry", "off"])
def test_an_instance_queues_by_its_file_and_says_so(tmp_path: Path, mode: str) -> None:
    async def work() -> None:
        upstream = await Upstream("u", Shape(slots=4, room=64, work_ms=1.0)).start()
        upstream.hold = asyncio.Event()
        path = installation(tmp_path, static(upstream), more=QUEUES.format(mode=mode), instances=1)
        text = (
            path.read_text()
            .replace('aim = "1s"', 'aim = "30s"')
            .replace('deadline = "2s"', 'deadline = "30s"')
        )
        path.write_text(text)  # they wait for commands, which may take their time
        async with fleet(path) as up:
            port = await up.port()
            first = asyncio.create_task(ask(port, "a0", "ana"))
            await upstream.begun.get()
            rest = [asyncio.create_task(ask(port, f"b{i}", "bor")) for i in range(3)]
            if mode == "on":  # one at a time passes
                while True:
                    told = json.loads(await command("queues", "top", path, "--json"))
                    if told[0]["waiting"] == 3:
                        break
                assert upstream.begun.empty()
            else:
                for _ in rest:
                    await upstream.begun.get()
            upstream.hold.set()
            assert [(await one).status for one in (first, *rest)] == [200] * 4
            text = await command("queues", "top", path)
            if mode == "off":
                assert "queues.mode is off" in text
            else:
                assert ("dry" in text) is (mode == "dry")
                assert "network 127.0.0.0/24" in text  # both are newcomers
        await upstream.kill()

    run(work())


def test_bad_settings_are_named(tmp_path: Path) -> None:
    text = (ROOT / "examples" / "queues.toml").read_text()
    for change, word in (
        (("share = 2 ", "share = 0 "), "tenant.zadruga-drava.share"),
        (('mode = "on"', 'mode = "yes"'), "queues.mode"),
        (('patience = "2s"', "patience = 2"), "queues.patience"),
        (('patience = "2s"', "limit_start = 5000"), "queues.limit_start"),
        (('patience = "2s"', "clients = 20"), "queues.clients"),
        (('patience = "2s"', 'place_header = "a b"'), "queues.place_header"),
        (('max_retry_after = "2s"', 'max_retry_after = "0s"'), "queues.reserve"),
    ):
        assert change[0] in text
        path = tmp_path / "bad.toml"
        path.write_text(text.replace(*change))
        result = CliRunner().invoke(main, ["check", str(path)])
        assert result.exit_code == 2 and word in result.output, (change, result.output)


def test_a_secret_that_cannot_be_used_is_named(tmp_path: Path) -> None:
    example = str(ROOT / "examples" / "queues.toml")
    secret = tmp_path / "secret"
    for content in (None, b"short"):
        if content is not None:
            secret.write_bytes(content)
        with pytest.raises(BadFile, match=r"queues\.secret_file"):
            setup.secret(load(example, (f"queues.secret_file={secret}",)), random.Random(1))
        result = CliRunner().invoke(main, ["check", example, "--set", f"queues.secret_file={secret}"])
        assert result.exit_code == 2 and "queues.secret_file" in result.output
    secret.write_bytes(b"0123456789abcdef\n")
    told = load(example, (f"queues.secret_file={secret}",))
    assert setup.secret(told, random.Random(1)) == b"0123456789abcdef"


def test_bounds_are_shared_among_the_instances() -> None:
    file = load(str(ROOT / "examples" / "queues.toml"), ("fleet.instances=4", "queues.waiting=400"))
    bounds = setup.bounds(file)
    assert (bounds.waiting, bounds.clients.clients) == (100, 2500)
    assert bounds.size == 32_000_000 // 4 // 3  # what waits is parsed, kept, and sent on


class _Peer:
    def peer(self) -> str:
        return "192.0.2.9"


@pytest.mark.parametrize(
    ("settings", "headers", "client", "address"),
    [
        ((), [(b"x-client", b"ana")], "ana", "192.0.2.9"),
        ((), [], "192.0.2.9", "192.0.2.9"),
        (("queues.client=address",), [(b"X-Client", b"ana")], "192.0.2.9", "192.0.2.9"),
        (
            ("queues.address_header=X-Forwarded-For",),
            [(b"x-forwarded-for", b"1.2.3.4, 5.6.7.8")],
            "5.6.7.8",
            "5.6.7.8",
        ),
        (("queues.address_header=X-Forwarded-For",), [(b"X-Client", b"ana")], "ana", "192.0.2.9"),
    ],
)
def test_who_asks_and_whence(
    settings: tuple[str, ...], headers: list[tuple[bytes, bytes]], client: str, address: str
) -> None:
    read = setup.origin_of(load(str(ROOT / "examples" / "queues.toml"), settings))
    assert read is not None
    arrival = IncomingRequest(b"GET", b"/api", [*headers, (b"X-Place", b" token ")], b"", True, 0)
    assert read(arrival, _Peer()) == ClientInfo(client, address, b"token")  # type: ignore[arg-type]
