import random

from gooseberryport_core._held_tickets import HeldTicket
from gooseberryport_core._queue import DeadlineQueue
from gooseberryport_core.messages import Ticket
from gooseberryport_core.types import PoolId


def make_held_ticket(name: str, deadline: float, first_try: bool = True) -> HeldTicket:
    pool = PoolId("truing-archive-svc", "olten-b")
    ticket = Ticket(name, pool, 1, deadline, True, first_try, 0, 0, "mittelland")
    return HeldTicket(ticket, "vm-1", 0.0, deadline)


def reference_order(entries: list[HeldTicket]) -> list[HeldTicket]:
    return sorted(entries, key=lambda e: (not e.ticket.first_try, e.deadline))


def test_queue_matches_a_list_sorted_on_every_access() -> None:
    rng = random.Random(11)
    queue = DeadlineQueue(limit=1_000)
    reference: list[HeldTicket] = []
    for step in range(3_000):
        action = rng.random()
        if action < 0.55:
            held = make_held_ticket(f"t{step}", float(rng.randrange(50)), rng.random() < 0.8)
            ahead = reference_order([*reference, held]).index(held)
            assert queue.rank(held) == ahead
            queue.push(held)
            reference.append(held)
        elif action < 0.7 and reference:
            removed = rng.choice(reference)
            queue.remove(removed.ticket.ticket_id)
            reference.remove(removed)
        elif action < 0.9 and reference:
            best = reference_order(reference)[0]
            assert queue.head is best
            assert queue.pop() is best
            reference.remove(best)
        elif action < 0.95:
            expired = [e for e in reference_order(reference) if e.deadline <= 5.0]
            assert queue.pop_expired(5.0) == expired
            reference = [e for e in reference if e not in expired]
        else:
            last = queue.pop_retry()
            retries = [e for e in reference if not e.ticket.first_try]
            assert last is (reference_order(retries)[-1] if retries else None)
            reference = [e for e in reference if e is not last]
        assert len(queue) == len(reference)
    assert queue.pop_all() == reference_order(reference)
