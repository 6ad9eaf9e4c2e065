"""The operating commands, each run as a process against a real mesh on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from standins.mesh import ROOT, Mesh

FIRST_PORT = 22400 + (os.getpid() % 200) * 16  # each worker has its own
ROUTE = {"PathPrefix": "/new/", "SignalKind": "idempotent", "Cutoff": "2s", "Plant": "p"}


async def run_command(at: list[str], *args: str) -> tuple[int, list[str], str]:
    """Run a command; its exit code, the lines of its output and its error output."""
    addresses = [part for one in at for part in ("--at", one)]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "brackengate.meshctl", *args, *addresses),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode().splitlines(), err.decode()


def test_the_older_name_of_the_module_runs_the_same() -> None:
    runs = [
        subprocess.run([sys.executable, "-m", name, "--help"], cwd=ROOT, capture_output=True, text=True)
        for name in ("brackengate.meshctl", "brackengate.bridge")
    ]
    new, old = ((run.returncode, run.stdout, run.stderr) for run in runs)
    assert new[0] == 0 and "Usage: brackengate mesh" in new[1]
    assert old == new


def test_the_commands_show_change_drain_and_back_up_a_mesh(tmp_path: Path) -> None:
    async def scenario() -> None:
        mesh = Mesh(tmp_path, pilots=3, first_port=FIRST_PORT)
        a, b, c = (f"{one.ip}:{mesh.ports.internal}" for one in mesh.core)
        nobody = f"127.10.9.9:{mesh.ports.internal}"

        async def rows(*at: str) -> dict[str, list[dict[str, Any]]]:
            _, lines, _ = await run_command(list(at), "status", "--json")
            out: dict[str, list[dict[str, Any]]] = {}
            for line in lines:
                row = json.loads(line)
                out.setdefault(row["is"], []).append(row)
            return out

        try:
            await mesh.start()
            # Status: the second address is tried and reports all members and proxies.
            found = await rows(nobody, b)
            while (
                len(found.get("pilot", ())) < 3
                or len(found["view"][0]["chain"]) < 3
                or sum(row["ready"] for row in found.get("service", ())) < 3
            ):  # under load a replica may lose and regain its membership; heartbeats arrive later
                found = await rows(nobody, b)
            assert [row["chain"] for row in found["member"]][:3] == ["head", "2", "tail"]
            assert found["service"] == [
                {"is": "service", "service": "p", "ready": 3, "draining": 0, "away": 0, "gone": 0}
            ]
            code, _, err = await run_command([nobody], "status")
            assert (code, err.startswith(f"brackengate: step connect, lighthouse {nobody}: ")) == (1, True)

            # Explain: egress and ingress of one request, from the proxies of two machines.
            assert (await mesh.request(mesh.sides[0], "/bid/x", key="k", attempt="id-1"))[0] == 200
            _, lines, _ = await run_command([a], "explain", "id-1", "--json")
            hops = [json.loads(line) for line in lines]
            out, gate = hops[0], hops[-1]
            assert [(hop["hop"], hop["route"]) for hop in (out, gate)] == [("out", "bid"), ("gate", "bid")]
            assert (out["pilot"], out["status"], out["service"]) == (mesh.sides[0].ip, 200, "p")
            assert (gate["said"], gate["key"]) == ("ran", "k")
            assert gate["upstream"] == out["steps"][-1]["upstream"]
            assert (await run_command([a], "explain", "id-2"))[0] == 4

            # A change: shown item by item; once apply ends, every proxy uses it.
            saved, file = tmp_path / "saved.json", tmp_path / "next.json"
            assert (await run_command([c], "backup", str(saved)))[0] == 0
            paths = [{**ROUTE, "Name": "new", "Revision": "r5"}]
            change = {"Hosts": [{"Host": "h.example", "Paths": paths}]}
            drop = {"Routes": [{"Name": "read", "Revision": "r1"}]}  # which was set as r1
            file.write_text(json.dumps({"Apply": change, "Remove": drop}))
            code, effects, _ = await run_command([b], "config", "diff", str(file))
            assert (code, [line.split()[0] for line in effects]) == (2, ["set", "no", "invalid"])
            drop["Routes"][0]["Revision"] = "r0"
            file.write_text(json.dumps({"Apply": change, "Remove": drop}))
            code, effects, _ = await run_command([b], "config", "diff", str(file))
            assert (code, [line.split()[0] for line in effects]) == (0, ["set", "no"])
            code, lines, err = await run_command([b], "config", "apply", str(file), "--wait", "30")
            assert (code, lines[:2], err) == (0, effects, "")
            assert lines[-1].startswith("all 3 pilots that follow have place ")
            for side in mesh.sides:
                assert (await mesh.request(side, "/new/x"))[0] == 200
            paths[0]["Plant"] = "nobody"
            file.write_text(json.dumps({"Apply": change}))
            code, _, err = await run_command([b], "config", "apply", str(file))
            assert (code, err) == (2, "brackengate: step check: nothing was sent\n")
            _, lines, _ = await run_command([a], "config", "show")
            routes = json.loads("\n".join(lines))["Hosts"][0]["Paths"]
            assert [one["Name"] for one in routes] == ["bid", "new", "read"]

            # A restore sets what is missing, and nothing that is older.
            code, lines, _ = await run_command([a], "restore", str(saved))
            assert (code, "agreed: 0 of 3 items have effect" in lines) == (0, True)
            saved.write_bytes(saved.read_bytes().replace(b'"r1"', b'"r7"', 1))
            code, _, err = await run_command([a], "restore", str(saved))
            assert (code, "it is damaged: its checksum" in err) == (2, True)

            # The head gives up its membership, keeps running, and rejoins on command.
            code, _, err = await run_command([b], "replace", mesh.core[0].ip)
            assert (
                code,
                err.startswith("brackengate: step leave: 2 members would be left and no other"),
            ) == (
                3,
                True,
            )
            code, lines, err = await run_command([b], "drain", mesh.core[0].ip)
            assert (code, mesh.core[0].ip in lines[-1]) == (0, False), err
            left, state = f"{mesh.core[0].ip}:{mesh.ports.control}", ""
            while state != "left":
                found = await rows(a)
                state = next(row["state"] for row in found["member"] if row["member"] == left)
            assert found["view"][0]["spare"] == 0
            assert (await run_command([b], "drain", mesh.core[1].ip))[0] == 3
            assert (await mesh.request(mesh.sides[1], "/bid/x", key="k2", attempt="id-3"))[0] == 200
            assert (await run_command([a], "readmit", mesh.core[0].ip))[0] == 0
        finally:
            await mesh.stop()

    asyncio.run(asyncio.wait_for(scenario(), 90))
