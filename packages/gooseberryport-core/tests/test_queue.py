import random

from gooseberryport_core._held_tickets import HeldTicket
from gooseberryport_core._queue import DeadlineQueue
from gooseberryport_core.messages import Ticket
from gooseberryport_core.types import PoolId


def make_held_ticket(name: str, deadline: float, first_try: bool = True) -> HeldTicket:
    pool = PoolId("truing-archive-svc", "olten-b")
    ticket = Ticket(name, pool, 1, deadline, True, first_try, 0, 0, "mittelland")
    return HeldTicket(ticket, "vm-1", 0.0, deadline)


def naive_order(entries: list[HeldTicket]) -> list[HeldTicket]:
    return sorted(entries, key=lambda e: (not e.ticket.first_try, e.deadline))


def test_queue_agrees_with_a_list_that_is_sorted_each_time() -> None:
    rng = random.Random(11)
    queue = DeadlineQueue(limit=1_000)
    naive: list[HeldTicket] = []
    for step in range(3_000):
        action = rng.random()
        if action < 0.55:
            held = make_held_ticket(f"t{step}", float(rng.randrange(50)), rng.random() < 0.8)
            ahead = naive_order([*naive, held]).index(held)
            assert queue.rank(held) == ahead
            queue.push(held)
            naive.append(held)
        elif action < 0.7 and naive:
            gone = rng.choice(naive)
            queue.remove(gone.ticket.ticket_id)
            naive.remove(gone)
        elif action < 0.9 and naive:
            best = naive_order(naive)[0]
            assert queue.head is best
            assert queue.pop() is best
            naive.remove(best)
        elif action < 0.95:
            late = [e for e in naive_order(naive) if e.deadline <= 5.0]
            assert queue.pop_expired(5.0) == late
            naive = [e for e in naive if e not in late]
        else:
            last = queue.pop_retry()
            retries = [e for e in naive if not e.ticket.first_try]
            assert last is (naive_order(retries)[-1] if retries else None)
            naive = [e for e in naive if e is not last]
        assert len(queue) == len(naive)
    assert queue.pop_all() == naive_order(naive)
