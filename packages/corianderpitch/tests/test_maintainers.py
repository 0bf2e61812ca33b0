"""Orders about VMs: side by side as the service's rate allows, none after the end."""

import eventlet
import pytest
from test_scheduler import make_scheduler

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.maintainers import MaintenanceTask
from corianderpitch.domain.scheduling.sizing import MoveVm
from corianderpitch.ids import ServiceName, VmId
from corianderpitch.ports import VmOrderResult

ANSWER_S = 0.02


class SlowOrders:
    """Carries each move out after a while, and counts those under way."""

    def __init__(self):
        self.under_way = 0
        self.most = 0
        self.moved = []

    def move(self, vm, pool):
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        try:
            eventlet.sleep(ANSWER_S)
        finally:
            self.under_way -= 1
        self.moved.append(vm)
        return VmOrderResult.DONE


def make_task(orders, orders_per_s):
    clock = ManualClock(1000.0)
    return MaintenanceTask(
        orders, None, None, make_scheduler(), clock, lambda: None, orders_per_s
    )


MOVES = [MoveVm(VmId(f"vm{n}"), ServiceName("s")) for n in range(12)]


@pytest.mark.parametrize(("orders_per_s", "at_once"), [(0.0, 1), (64.0, 1), (310.0, 4)])
def test_moves_go_side_by_side_as_the_rate_allows(orders_per_s, at_once):
    orders = SlowOrders()
    make_task(orders, orders_per_s)._carry_out([], MOVES)
    assert orders.most == at_once
    assert sorted(orders.moved) == sorted(move.vm for move in MOVES)


def test_no_order_is_sent_after_the_task_was_ended():
    orders = SlowOrders()
    task = make_task(orders, 310.0)
    thread = eventlet.spawn(task._carry_out, [], MOVES)
    eventlet.sleep(1.5 * ANSWER_S)
    thread.kill()
    eventlet.sleep(2 * ANSWER_S)
    assert orders.under_way == 0
    assert 0 < len(orders.moved) < len(MOVES)


def test_an_order_that_fails_is_not_swallowed():
    orders = SlowOrders()
    orders.move = lambda vm, pool: 1 / 0
    with pytest.raises(ZeroDivisionError):
        make_task(orders, 310.0)._carry_out([], MOVES)
