"""Hard cases of the mesh with small pieces and short logs: replicas and proxies catch up by snapshots."""

from __future__ import annotations

import pytest
from test_mesh_lab import assert_no_violations, run_scenario

from brackengate.control import log, transfer
from brackengate.protocol.messages import SnapshotPiece, SnapshotPosition
from brackengate.proxy.snapshot_receiver import SnapshotReceiver


@pytest.mark.parametrize("seed", [10, 14])
def test_a_proxy_that_follows_a_rejoined_member_has_every_acknowledged_change(seed: int) -> None:
    """Guards against `review/7`.  The seeds are two of ten that broke CONFIG, of the first thirty."""
    assert_no_violations(run_scenario("rejoined-quiet.toml", seed=seed))


@pytest.mark.parametrize("name", ["snapshot-under-way", "lost-claimant"])
def test_hard_case_keeps_every_rule_with_small_snapshot_pieces(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    pieces: list[bool] = []
    real = SnapshotReceiver.receive

    def receive(self: SnapshotReceiver, position: SnapshotPosition, piece: SnapshotPiece) -> bool:
        pieces.append(real(self, position, piece))
        return pieces[-1]

    monkeypatch.setattr(SnapshotReceiver, "receive", receive)
    monkeypatch.setattr(transfer, "PIECE_ROWS", 2)
    monkeypatch.setattr(log, "RECENT_ENTRIES", 40)
    monkeypatch.setattr(log, "RECENT_PUBLIC_ENTRIES", 3)
    assert_no_violations(run_scenario(f"{name}.toml"))
    assert sum(pieces) >= 6 and len(pieces) > sum(pieces)
