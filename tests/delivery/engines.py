"""Delivery of attempts to agents, and of their responses to the entry."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from snipebend.delivery.attempt_events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    ChunkArrived,
)
from snipebend.delivery.guard import Refused
from snipebend.state.claims import StoredAnswer
from tests.delivery.pieces import Conn, Run

if TYPE_CHECKING:
    from snipebend.delivery.attempt_events import AttemptEvent
    from snipebend.delivery.messages import AttemptTicket
    from tests.delivery.pieces import Agent, SentRequest
    from tests.delivery.world import World


def send_attempt(
    world: World,
    sent_request: SentRequest,
    agent: Agent,
    ticket: AttemptTicket,
) -> None:
    conn = Conn(sent_request, ticket.attempt)
    sent_request.conns[ticket.attempt] = conn
    if world.occurs(world.rates.unsent):
        push(world, conn, AttemptBroken(ticket.attempt, sent=False))
        return
    unread = Conn(sent_request, ticket.attempt, is_open=False)
    arrive = partial(_arrive, world, agent, ticket)
    delivery = world.choose_delivery()
    if delivery in {'lost', 'late'}:
        push(world, conn, AttemptBroken(ticket.attempt, sent=True))
    match delivery:
        case 'late':
            world.later(arrive, unread)
        case 'doubled' if world.occurs(0.5):
            world.later(arrive, conn, unread)
        case 'doubled':
            world.later(arrive, unread, conn)
        case 'arrives':
            world.later(arrive, conn)


def push(world: World, conn: Conn, event: AttemptEvent) -> None:
    """Queue an event; queued events are delivered despite a cancel."""
    if not conn.is_open:
        return
    is_chunk = isinstance(event, ChunkArrived)
    if world.occurs(world.rates.broken):
        break_event = AttemptBroken(conn.attempt, sent=True)
        if world.occurs(0.5):
            # The attempt timed out; events already queued still arrive.
            world.later(world.step, conn.sent_request, break_event)
        else:
            event = break_event
            conn.is_open = False
    elif is_chunk and world.occurs(world.rates.lost / 4):
        return
    conn.queue.append(event)
    world.later(_pump, world, conn)
    if is_chunk and world.occurs(world.rates.doubled):
        conn.queue.append(event)
        world.later(_pump, world, conn)


def break_all(world: World, agent: Agent) -> None:
    """Break all connections of an agent and stop its executions."""
    for conn in agent.running:
        push(world, conn, AttemptBroken(conn.attempt, sent=True))
        conn.is_open = False
    agent.running = []


def _arrive(
    world: World,
    agent: Agent,
    ticket: AttemptTicket,
    conn: Conn,
    copy_conn: Conn | None = None,
) -> None:
    """Deliver an attempt, and a copy of it some time later.

    The response to a copy is not read. A copy may overtake the attempt on the
    way to one incarnation of the agent, but not beyond that: a refusal for the
    wrong incarnation is a proof only because an attempt is sent once.
    """
    _admit(world, agent, ticket, conn)
    incarnation = agent.incarnation

    def arrive_later(late: Conn) -> None:
        if late.is_open and agent.incarnation != incarnation:
            push(world, late, AttemptBroken(ticket.attempt, sent=True))
        else:
            _admit(world, agent, ticket, late)

    if copy_conn is not None:
        world.later(arrive_later, copy_conn)


def _admit(
    world: World,
    agent: Agent,
    ticket: AttemptTicket,
    conn: Conn,
) -> None:
    admission = agent.guard.admit(ticket, world.now + agent.skew)
    if not isinstance(admission, Refused):
        if not world.occurs(world.rates.unsent):
            _start(world, agent, ticket, conn)
            return
        admission = agent.guard.withdraw(ticket.request_id, ticket.attempt)
    push(world, conn, AttemptRefused(ticket.attempt, admission.reason))


def _start(
    world: World,
    agent: Agent,
    ticket: AttemptTicket,
    conn: Conn,
) -> None:
    work = conn.sent_request.work
    stem = work.name
    if not work.resumable:
        # Such an engine never produces the same response twice.
        stem = f'{stem}/{ticket.request_id}/{ticket.attempt}'
    payloads = [f'{stem}/{seq};'.encode() for seq in range(work.chunks)]
    run = Run(ticket.request_id, work, tuple(payloads))
    world.runs.append(run)
    agent.running.append(conn)
    push(world, conn, AttemptStarted(ticket.attempt, 200, {}))
    world.later(_run, world, agent, conn, run, ticket.resume_from)


def _run(world: World, agent: Agent, conn: Conn, run: Run, seq: int) -> None:
    if conn not in agent.running:
        return
    if seq < len(run.payloads):
        push(world, conn, ChunkArrived(conn.attempt, seq, run.payloads[seq]))
        world.later(_run, world, agent, conn, run, seq + 1)
        return
    agent.running.remove(conn)
    answer = StoredAnswer(200, '', b''.join(run.payloads))
    agent.guard.finish(run.request_id, conn.attempt, answer)
    push(world, conn, AttemptFinished(conn.attempt, len(run.payloads)))


def _pump(world: World, conn: Conn) -> None:
    front = conn.queue[:2]
    chunks = [event for event in front if isinstance(event, ChunkArrived)]
    may_swap = len(chunks) == 2
    index = world.rng.randrange(2) if may_swap else 0
    world.step(conn.sent_request, conn.queue.pop(index))
