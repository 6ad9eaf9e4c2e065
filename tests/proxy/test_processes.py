"""Proxies and control replicas as processes on loopback: kills and graceful shutdowns."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from pathlib import Path

from standins.mesh import LONG, Mesh

FIRST_PORT = 19000 + (os.getpid() % 200) * 16  # each worker has its own


def runs(mesh: Mesh, prefix: str) -> Counter[str]:
    return Counter(key for upstream in mesh.upstreams for _, key in upstream.ran if key.startswith(prefix))


def test_graceful_shutdown_finishes_a_long_answer_and_stalled_ones_use_no_memory(tmp_path: Path) -> None:
    """Forty answers of 20 MiB are stalled by their clients; both proxies shut down, one answer is read."""

    async def play() -> None:
        mesh = Mesh(tmp_path, lighthouses=2, pilots=2, first_port=FIRST_PORT)
        try:
            await mesh.start()
            side, writers = mesh.sides[0], []
            before = max(one.memory_mb() for one in mesh.sides)
            for n in range(40):
                reader, writer = await asyncio.open_connection(side.ip, mesh.ports.outbound, limit=1 << 16)
                lines = f"X-Brackengate-Attempt-Id: l{n}", "X-Brackengate-Deadline-Ms: 2000", "", ""
                writer.write("\r\n".join(["GET /read/long HTTP/1.1", "Host: h.example", *lines]).encode())
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200") and b"Content-Length: %d\r\n" % LONG in head
                writers.append((reader, writer))
            assert max(one.memory_mb() for one in mesh.sides) - before < 30  # MB
            for one in mesh.sides:
                assert one.process is not None
                one.process.send_signal(signal.SIGTERM)
            reader, _ = writers[0]
            assert len(await reader.readexactly(LONG)) == LONG
            for _, writer in writers:
                writer.transport.abort()
            for one in mesh.sides:
                assert one.process is not None
                assert await asyncio.to_thread(one.process.wait, 10) == 0
        finally:
            await mesh.stop()

    asyncio.run(asyncio.wait_for(play(), 60))


def test_keys_run_once_and_a_graceful_shutdown_loses_nothing(tmp_path: Path) -> None:
    async def bids(mesh: Mesh, prefix: str, count: int) -> list[tuple[int, bytes]]:
        """Send each key to two proxies at once, and retry until both have the answer."""

        async def bid(n: int, side: int) -> tuple[int, bytes]:
            until, again = asyncio.get_running_loop().time() + 20, 0
            while (
                asyncio.get_running_loop().time() < until
            ):  # by the clock: a view change takes longer under load
                again += 1
                target = mesh.sides[(n + side) % len(mesh.sides)]
                try:
                    status, _, body = await mesh.request(
                        target, "/bid/x", key=f"{prefix}{n}", attempt=f"{prefix}{n}.{side}.{again}"
                    )
                except OSError:
                    continue
                if status == 200:
                    return status, body
            return status, body

        return list(await asyncio.gather(*(bid(n, side) for n in range(count) for side in (0, 1))))

    async def play() -> None:
        mesh = Mesh(tmp_path, pilots=3, first_port=FIRST_PORT)
        try:
            await mesh.start()
            # The head of the chain is killed while keys are being claimed.
            work = asyncio.create_task(bids(mesh, "a", 30))
            mesh.core[0].end()
            answers = await work
            assert [status for status, _ in answers] == [200] * 60
            # A repeat gets the first answer.
            assert all(answers[n] == answers[n + 1] for n in range(0, 60, 2))
            assert set(runs(mesh, "a").values()) == {1}
            # It restarts with an empty disk; another one is killed; claims are kept.
            mesh.restart(mesh.core[0], wipe=True)
            await mesh.amend([("later", "/later/", "idempotent")])
            while (await mesh.request(mesh.sides[2], "/later/x"))[0] != 200:
                await asyncio.sleep(0.02)
            mesh.core[1].end()
            await bids(mesh, "a", 30)
            assert set(runs(mesh, "a").values()) == {1}
            mesh.restart(mesh.core[1])
            # A proxy is shut down under load: the requests that it has read are answered.
            reads = [
                asyncio.create_task(mesh.request(mesh.sides[0], "/read/x", attempt=f"r{n}"))
                for n in range(40)
            ]
            await asyncio.sleep(0)
            process = mesh.sides[0].process
            assert process is not None
            process.send_signal(signal.SIGTERM)
            assert [status for status, _, _ in await asyncio.gather(*reads)] == [200] * 40
            assert await asyncio.to_thread(process.wait, 10) == 0
        finally:
            await mesh.stop()

    asyncio.run(asyncio.wait_for(play(), 60))
