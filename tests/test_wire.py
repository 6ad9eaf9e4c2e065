"""The simulator adapter: the lines it reads and writes, and its errors for invalid input."""

import io
import json

import pytest

from brackengate import balancer
from brackengate import interface as api
from brackengate.platform import adapter, wire

ENV = json.dumps(
    {
        "Balancers": 2,
        "Classes": [{"Name": "bid", "AimUs": 500000, "DeadlineUs": 1000000, "Idempotency": "once"}],
        "PolicyLimits": {"Cancel": True, "MaxAttempts": 3, "Probes": False, "Novel": 1},
        "SomethingNew": {"x": 1},
    }
)
OPEN = f"at 0\nopen_instance 5 {ENV}\n"
LIST = "register 0 1\nitem - 0 k z up_a SERVING 1\nregistry stale_copy 1 0\n"
CALL = "at 0\ncall aa 0 - 0 2000000 bid - -\n"


def run_adapter(text: str) -> tuple[int, str, str]:
    out, errors = io.StringIO(), io.StringIO()
    return adapter.run(io.StringIO(text), out, errors), out.getvalue(), errors.getvalue()


def batch(*parts: str, now: int = 1000000, serial: int = 1) -> str:
    return f"begin_batch {now} {serial}\n" + "".join(parts) + "end\n"


def test_an_empty_batch_and_the_end_of_input():
    assert run_adapter(batch()) == (0, "end 1\n", "")


def test_a_request_is_relayed_and_its_outcome_ends_it():
    code, out, _ = run_adapter(batch(OPEN, LIST, CALL) + batch("at 0\nreply aa 0 up_a 0 900 1 -\n", serial=2))
    assert code == 0
    assert out == "on_behalf 0\nrelay aa 1495000 up_a\nend 1\nend 2\n"


def test_a_register_number_reused_within_a_batch_is_resolved_in_order():
    second_list = "register 0 1\nitem - 0 k z up_b SERVING 1\nregistry whole 2 0\n"
    _, out, _ = run_adapter(batch(OPEN, LIST, second_list, CALL))
    assert "relay aa 1495000 up_b" in out


def test_a_restart_within_a_batch_discards_all_state():
    restart = batch("at 0\ndown\n", OPEN, CALL.replace("aa", "bb"), serial=2)
    _, out, _ = run_adapter(batch(OPEN, LIST, CALL) + restart)
    assert out.count("relay") == 1


def test_settings_are_read_and_new_keys_skipped():
    settings = wire.settings(ENV)
    assert settings.classes[0] == api.RequestClass("bid", 500000, 1000000, key_scope=api.KeyScope.CELL)
    assert settings.max_attempts == 3


def test_missing_settings_get_the_most_restrictive_defaults():
    settings = wire.settings("{}")
    assert (settings.cold_time, settings.cold_share, settings.max_attempts) == (30_000_000, 0.1, 1)
    assert not settings.probes
    assert not settings.cancel
    minimal = wire.settings('{"Classes":[{"Name":"n"}]}').classes[0]
    assert minimal.idempotency is api.Idempotency.UNSAFE


def test_unknown_values_have_no_effect():
    assert wire.report("outstanding:7,novelty:3,utilization:0.62") == api.LoadReport(7, None, 0.62)
    assert wire.report("-") is None
    assert wire.endpoint("item - - k z u ODD -") == api.Endpoint("u", "z", "k", -1, api.Lifecycle.DRAINING)
    assert wire.event("reply aa 0 u 77 5 0 -").outcome is api.Outcome.ERROR
    assert wire.settings('{"Classes":[{"Name":"n","Idempotency":"odd"}]}').classes[0].idempotency is (
        api.Idempotency.UNSAFE
    )


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (batch(OPEN, "nonsense 1\n"), "unknown message: nonsense 1"),
        (batch(OPEN, "call aa\n"), "expected 'call' with 8 values, got 1: call aa"),
        (batch(OPEN, "fired x\n"), "fired x"),
        (batch(OPEN, "reply aa 0 u ok 5 0 -\n"), "reply aa 0 u ok 5 0 -"),
        (batch(OPEN, "registry whole 1 9\n"), "no register has the number 9"),
        (batch(OPEN, "registry odd 1 0\n"), "an unknown list kind"),
        (batch("register 0 5\nitem - 0 k z u SERVING 1\n"), "the batch ends before the entries"),
        (batch("register 0 1\nitem 1\n"), "expected 'item' with 7 values"),
        (batch("at x\n"), "expected 'at'"),
        (batch("at 0\nopen_instance 5 {\n"), "not JSON"),
        (batch("at 0\nopen_instance 5 []\n"), "not an object"),
        (batch('at 0\nopen_instance 5 {"Classes":[{"Name":"a","AimUs":"x"}]}\n'), "not of its kind"),
        (batch(CALL), "not opened"),
        ("start 1 1\nend\n", "begin_batch"),
        ("begin_batch 1 1\nat 0\n", "within a batch"),
    ],
)
def test_bad_input_gets_one_message_and_a_non_zero_exit(text, message):
    code, out, errors = run_adapter(text)
    assert code != 0
    assert out == ""
    assert message in errors
    assert errors.count("\n") == 1


def test_an_exception_in_the_balancer_is_reported(monkeypatch):
    def broken(self, now, event):
        raise IndexError("index out of range")

    monkeypatch.setattr(balancer.Balancer, "handle", broken)
    code, out, errors = run_adapter(batch(OPEN, LIST))
    assert code == 0
    assert out == "on_behalf 0\nfatal IndexError: index out of range\nend 1\n"
    assert "Traceback" in errors


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.Send("a", "u", 5), "relay a 5 u"),
        (api.Probe("u"), "test u"),
        (api.SetTimer(9, 7), "remind 9 7"),
        (api.Release("u"), "let_go u"),
        (api.CancelAttempt("a", 1), "drop_attempt a 1"),
        (api.Refuse("a", 250), "push_back a 250"),
        (api.Fail("a"), "give_up a"),
        (api.WatchList(), "watch 1"),
    ],
)
def test_actions_as_lines(action, line):
    assert wire.action_line(action) == line


def test_late_events_and_unknown_ids_are_ignored():
    late = "at 0\nreply zz 0 up_a 0 5 1 -\nfired 99\ntimed_out_client zz\necho 0 5 up_z -\nwhisper 1 68\n"
    assert run_adapter(batch(OPEN, LIST) + batch(late, serial=2))[1] == "end 1\nend 2\n"
