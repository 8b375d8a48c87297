import random

import behave
import hypothesis
import move_fleet
import virtual_clock
from hypothesis import strategies

from peridothitch import errors
from peridothitch.adapters import memory_store, metrics, yaml_codec
from peridothitch.coordination import documents, feed, move_store, single_host
from peridothitch.gateway import embedded
from peridothitch.policy import moves
from peridothitch.ports import peers
from peridothitch.standins import faulty_store

ROUTES = "r{0}: {{method: GET, path: /r{0}, service: ticketing}}\n"
NO_KEY = ""
DECISIONS = (
    moves.Close(moves.Outcome.DONE, errors.Code.MOVE_FINISHED),
    moves.Close(moves.Outcome.UNDONE, errors.Code.MOVE_NOT_PROVED),
    moves.Close(moves.Outcome.UNDONE, errors.Code.MOVE_VERSION_FAULTY),
)
FAULTS = (None, "reply_lost", "request_lost", "down")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from(("read", "prove", "close")),
            strategies.sampled_from(DECISIONS),
            strategies.sampled_from(FAULTS),
        ),
        max_size=20,
    )
)
def _decide_at_once(actions):
    clock = move_fleet.VirtualClock()
    memory = memory_store.MemoryStore(clock)
    stores = [faulty_store.FaultyStore(memory, clock) for _ in range(3)]
    move_stores = [
        move_store.MoveStore(service, f"entry-{number}")
        for number, service in enumerate(stores)
    ]
    record = moves.open_record("step", move_fleet.make_move(), "v1", clock.now())
    opened = move_stores[0].create(record)
    view_by_book = dict.fromkeys(range(3), opened)
    observer = move_store.MoveStore(memory, "observer")
    verdict = None
    for number, action, decision, fault in actions:
        if fault is not None:
            stores[number].inject(
                faulty_store.FaultRule(fault=faulty_store.Fault(fault), count=1)
            )
        try:
            if action == "read":
                view_by_book[number] = (
                    move_stores[number].load().move_by_id[record.move_id]
                )
            elif action == "prove":
                move_stores[number].record_proof(view_by_book[number], clock.now(), 0)
            else:
                move_stores[number].record_verdict(
                    view_by_book[number], decision, clock.now(), 0, "v1"
                )
        except errors.StoreError:
            pass
        state = observer.load()
        stored_record = state.move_by_id[record.move_id].record
        if verdict is not None:
            assert stored_record == verdict, (stored_record, verdict)
        elif stored_record.outcome is not None:
            verdict = stored_record
        done = verdict is not None and verdict.outcome is moves.Outcome.DONE
        assert bool(state.override_by_service) == done


@behave.then(
    "whatever hosts read, write, lose and repeat, the first verdict of a move stands"
)
def check_verdicts(context):
    _decide_at_once()


class _InterruptedStore(faulty_store.FaultyStore):
    """Runs an action after the first transaction and then loses its reply."""

    def __init__(self, inner, clock, act):
        super().__init__(inner, clock)
        self._act = act

    def transact(self, compares, writes):
        if self._act is None:
            return super().transact(compares, writes)
        act, self._act = self._act, None
        super().transact(compares, writes)
        act()
        raise errors.StoreUnclearError("the reply was lost")


def _document_store(service):
    return documents.DocumentStore(service, yaml_codec.YamlCodec())


@behave.given("a stored document and an operator whose reply is lost")
def store_document(context):
    context.clock = virtual_clock.VirtualClock()
    context.memory = memory_store.MemoryStore(context.clock)
    context.other = _document_store(context.memory)
    context.other.create(embedded.EXAMPLE_DOCUMENT)


@behave.when(
    "another operator replaces the same section before the first one reads back"
)
def overwrite(context):
    def replace():
        context.other.edit("routes", ROUTES.format(2), NO_KEY)

    service = _InterruptedStore(context.memory, context.clock, replace)
    context.revision = _document_store(service).edit("routes", ROUTES.format(1), NO_KEY)


@behave.then("the first operator receives the revision of the accepted edit")
def check_accepted(context):
    stored = context.other.load()
    assert context.revision == 2, context.revision
    assert stored.document.revision == 3, stored.document.revision
    assert list(stored.document.route_by_name) == ["r2"]


@behave.given("a host that has applied the second revision of a document")
def apply_two(context):
    store_document(context)
    context.first, _ = context.other.read_newer(None)
    context.other.edit("routes", ROUTES.format(1), NO_KEY)
    second, _ = context.other.read_newer(None)
    peer = peers.Peer(host_id="entry-0", address="", data_centre="")
    context.feed = feed.DocumentFeed(
        context.other,
        yaml_codec.YamlCodec(),
        context.clock,
        metrics.Metrics(),
        single_host.SingleHostPeers(peer),
        single_host.LocalFactRegistry(),
        random.Random(context.seed),
    )
    assert context.feed.apply_if_newer(second)


@behave.when("the first revision arrives once more")
def apply_first(context):
    context.is_applied = context.feed.apply_if_newer(context.first)


@behave.then("the second revision stays in force at the host")
def check_in_force(context):
    assert not context.is_applied
    assert context.feed.revision == context.feed.current().revision == 2
