"""Two cells on sockets, by the example file: a tenant moved under load, a fault that stays in its cell."""

from __future__ import annotations

import asyncio
import contextlib
import re
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from fleetkit import Fleet, fleet, run
from peers import Caller, Peer, answer, request

ROOT = Path(__file__).parent.parent.parent
EXAMPLE, MAP = (ROOT / "examples" / name for name in ("cells.toml", "cells-map.toml"))


class Cellar:
    """The two pools' upstreams; each notes what it ran: (when, tenant, class, id)."""

    def __init__(self) -> None:
        self.ran: dict[str, list[tuple[float, str, str, str]]] = {"a": [], "b": []}
        self.broken: set[str] = set()

    async def start(self) -> Cellar:
        self.peers = {name: await Peer(self._serves(name)).start() for name in self.ran}
        return self

    def _serves(self, name: str):  # type: ignore[no-untyped-def]
        async def script(message: tuple[str, dict[str, str], bytes], writer: asyncio.StreamWriter) -> None:
            headers = message[1]
            now = asyncio.get_running_loop().time()
            self.ran[name].append((now, headers["x-org"], headers["x-lane"], headers["x-txn"]))
            assert int(headers["x-cell-epoch"]) > 0
            writer.write(answer(500 if name in self.broken else 200, name.encode()))

        return script

    def ids(self, cell: str, tenant: str, lane: str, arrived: list[float]) -> list[str]:
        """The requests that arrived at these times."""
        found = [(at, id_) for at, who, what, id_ in self.ran[cell] if (who, what) == (tenant, lane)]
        return [id_ for at, id_ in found if at in arrived]

    def times(self, cell: str, tenant: str, lane: str) -> list[float]:
        return [at for at, who, what, _ in self.ran[cell] if (who, what) == (tenant, lane)]


@contextlib.asynccontextmanager
async def two_cells(folder: Path) -> AsyncIterator[tuple[Fleet, Cellar, int]]:
    """The example with ports and times of the test's own."""
    cellar = await Cellar().start()
    path, cells_map = folder / "cells.toml", folder / "map.toml"
    cells_map.write_text(MAP.read_text())
    text = EXAMPLE.read_text()
    for old, new in (
        ("127.0.0.1:8080", "127.0.0.1:0"),
        ("127.0.0.1:9001", f"127.0.0.1:{cellar.peers['a'].port}"),
        ("127.0.0.1:9002", f"127.0.0.1:{cellar.peers['b'].port}"),
        ("examples/cells-map.toml", str(cells_map)),
        ('lease = "3s"', 'lease = "600ms"'),
        ('skew = "100ms"', 'skew = "10ms"'),
        ('check_every = "500ms"', 'check_every = "50ms"'),
        ('key_memory = "4s"', 'key_memory = "300ms"'),
        ('aim = "410ms"', 'aim = "1s"'),  # machines of tests stall
        ("[fleet]\n", f'[fleet]\nruntime_dir = "{folder / "run"}"\n'),
    ):
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    async with fleet(path) as made:
        await made.until_ready(2)
        yield made, cellar, await made.port()


async def command(fleet: Fleet, *words: str) -> tuple[int, str]:
    first, *rest = words
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "brackengate.cli", "cells", first, str(fleet.path), *rest,
        cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    out, _ = await process.communicate()
    return process.returncode or 0, out.decode()


class Load:
    """Dealers that ask again and again, of each class, on connections to both instances."""

    def __init__(self, port: int) -> None:
        self.port, self.count = port, 0
        self.answers: list[tuple[str, str, int, float]] = []  # tenant, class, status, what Retry-After says
        self.sent: dict[str, float] = {}  # when, by id
        self.moving: list[float] = []  # the same, where a move is the reason
        self.over = False

    async def dealer(self, tenant: str, lane: str) -> None:
        caller = await Caller.to(self.port)
        while not self.over:
            self.count += 1
            name = f"{tenant}-{lane}-{self.count}"
            more = {"Idempotency_Key": name} if lane == "ponudba" else {}
            data = request(name, "buy" if lane != "pregled" else "read", 900, X_Org=tenant, **more)
            self.sent[name] = asyncio.get_running_loop().time()
            caller.writer.write(re.sub(rb"X-Lane: \w+", b"X-Lane: " + lane.encode(), data))
            status, headers, body = await caller.read()
            if body == b"refused: its tenant is being moved\n":
                self.moving.append(float(headers["retry-after"]))
            self.answers.append((tenant, lane, status, float(headers.get("retry-after", 0))))
            if status != 200:
                await asyncio.sleep(0.01)

    def statuses(self, tenant: str, lane: str) -> set[int]:
        return {status for who, what, status, _ in self.answers if (who, what) == (tenant, lane)}


LANES = ("pregled", "ponudba", "takoj-kupi")


def test_a_tenant_is_moved_under_load_and_never_has_two_cells(tmp_path: Path) -> None:
    async def main() -> None:
        async with two_cells(tmp_path) as (made, cellar, port):
            load = Load(port)
            dealers = [
                asyncio.create_task(load.dealer(tenant, lane))
                for tenant in ("zadruga-drava", "zadruga-ptuj")
                for lane in LANES
                for _ in range(2)
            ]
            while not all(cellar.times("a", "zadruga-drava", lane) for lane in LANES):
                await asyncio.sleep(0.01)
            code, told = await command(made, "move", "zadruga-drava", "b", "--dry-run")
            assert code == 0 and "would be published" in told
            code, told = await command(made, "move", "zadruga-drava", "b")
            assert code == 0 and "epoch 1 -> 2 is published" in told
            while not all(len(cellar.times("b", "zadruga-drava", lane)) > 20 for lane in LANES):
                await asyncio.sleep(0.01)
            code, told = await command(made, "undo", "zadruga-drava")  # late: a move back
            assert code == 0 and "b -> a" in told
            epoch = re.findall(r"-> (\d+) is published", told)[0]
            last = {lane: cellar.times("a", "zadruga-drava", lane)[-1] for lane in LANES}
            while not all(cellar.times("a", "zadruga-drava", lane)[-1] > last[lane] for lane in LANES):
                await asyncio.sleep(0.01)
            load.over = True
            await asyncio.gather(*dealers)
            for lane, least in (("takoj-kupi", 1.0), ("ponudba", 1.3)):
                there = cellar.times("b", "zadruga-drava", lane)
                before = [at for at in cellar.times("a", "zadruga-drava", lane) if at < there[0]]
                after = [at for at in cellar.times("a", "zadruga-drava", lane) if at > there[-1]]
                assert len(before) + len(after) == len(cellar.times("a", "zadruga-drava", lane))
                # A deadline apart: from when the last one was sent, as it may reach its upstream late.
                for cell, arrived, first in (("a", before, there[0]), ("b", there, after[0])):
                    of_lane = cellar.ids(cell, "zadruga-drava", lane, arrived)
                    assert first - max(load.sent[id_] for id_ in of_lane) >= least
                turned = {s for s in load.statuses("zadruga-drava", lane) if s != 200}
                assert turned == {503}
            assert load.moving and all(0 < advice <= 1.4 for advice in load.moving)
            ran = [one[3] for runs in cellar.ran.values() for one in runs]
            assert len(ran) == len(set(ran))  # nothing ran twice, in either cell
            for lane in LANES:
                assert load.statuses("zadruga-ptuj", lane) == {200}  # the other tenant notices nothing
            assert load.statuses("zadruga-drava", "pregled") == {200}
            code, told = await command(made, "status")
            assert code == 0 and told.count(f"epoch {epoch},") == 2

    run(main())


def test_a_broken_cell_and_a_broken_map_harm_nobody_else(tmp_path: Path) -> None:
    """Cell a fails: b's tenants are served.  The map can't be read: writes are refused after the lease, reads
    go on; whole again, all is as before, and a map that is turned down changes nothing."""

    async def main() -> None:
        async with two_cells(tmp_path) as (made, cellar, port):
            cellar.broken.add("a")
            load = Load(port)
            dealers = [asyncio.create_task(load.dealer("zadruga-drava", "takoj-kupi"))]
            dealers += [asyncio.create_task(load.dealer("zadruga-ptuj", lane)) for lane in LANES]
            while len(load.answers) < 200:
                await asyncio.sleep(0.01)
            assert 200 not in load.statuses("zadruga-drava", "takoj-kupi")
            assert all(load.statuses("zadruga-ptuj", lane) == {200} for lane in LANES)
            whole = (tmp_path / "map.toml").read_text()
            (tmp_path / "map.toml").write_text(whole[:20])
            while 503 not in load.statuses("zadruga-ptuj", "ponudba"):
                await asyncio.sleep(0.01)
            assert load.statuses("zadruga-ptuj", "pregled") == {200}
            code, told = await command(made, "check")
            assert code == 2 and "map.toml" in told
            (tmp_path / "map.toml").write_text(whole)
            begun = len(load.answers)
            while ("zadruga-ptuj", "ponudba", 200, 0.0) not in load.answers[begun:]:
                await asyncio.sleep(0.01)
            load.over = True
            await asyncio.gather(*dealers)

    run(main())


@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        ('default = "a"', 'default = "z"', "names no cell"),
        ('api = "b"', 'api = "q"', "names no pool"),
        ('api = "b"', 'api = "a"', "is also that of cell"),
        ("epoch = 1", 'epoch = "x"', "epoch"),
        ("epoch = 1", "epoch = 0", "epoch"),
        ("published = 0", "", "published"),
        (
            'zadruga-ptuj = "b"',
            'zadruga-ptuj = "b"\n[move.x]\nfrom = "a"\nto = "b"\ngap = 5\n',
            "longest deadline",
        ),
        ('zadruga-ptuj = "b"', "zadruga-ptuj = ", "is not TOML"),
    ],
)
def test_a_bad_map_is_told_with_its_file_key_and_what_is_allowed(
    tmp_path: Path, old: str, new: str, word: str
) -> None:
    async def main() -> None:
        path, cells_map = tmp_path / "cells.toml", tmp_path / "map.toml"
        assert old in MAP.read_text()
        cells_map.write_text(MAP.read_text().replace(old, new))
        path.write_text(EXAMPLE.read_text().replace("examples/cells-map.toml", str(cells_map)))
        code, told = await command(Fleet(path, None), "check")  # type: ignore[arg-type]
        assert code == 2 and word in told and str(cells_map) in told and "Traceback" not in told
        before = cells_map.read_text()
        code, told = await command(Fleet(path, None), "move", "zadruga-drava", "b")  # type: ignore[arg-type]
        assert code == 2 and cells_map.read_text() == before

    run(main())
