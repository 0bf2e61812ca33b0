"""Variants of the policy with one mechanism switched off."""

from corianderpitch.domain.scheduling import planning
from corianderpitch_standins import ablation


def test_a_variant_changes_the_replay_and_leaves_no_trace(monkeypatch):
    monkeypatch.setattr(ablation, "LENGTH_S", 4.0)
    order_key = planning.order_key
    names = [variant.name for variant in ablation.VARIANTS]
    full = ablation.run_variant("overload", names.index("full policy"), 1)
    other = ablation.run_variant("overload", names.index("order of arrival"), 1)
    assert planning.order_key is order_key
    assert other.queues != full.queues
    again = ablation.run_variant("overload", names.index("full policy"), 1)
    assert again.queues == full.queues
