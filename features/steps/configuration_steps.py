import datetime
import itertools

import behave
import fake_documents
import hypothesis
import msgspec
from hypothesis import strategies

from peridothitch import errors
from peridothitch.adapters import memory_store, yaml_codec
from peridothitch.coordination import (
    deltas,
    document_messages,
    documents,
    fleet_status,
    heads,
)
from peridothitch.gateway import customers, embedded
from peridothitch.standins import faulty_store

SECOND = datetime.timedelta(seconds=1)
IN_FORCE_LIMIT = 7 * SECOND
HEAL_LIMIT = 30 * SECOND


@behave.given("{count:d} hosts that replicate the document")
def start_document_fleet(context, count):
    context.document_fleet = make_fleet(count, context.seed)


def make_fleet(count, seed, **options):
    fleet = fake_documents.DocumentFleet(count, seed, **options)
    fleet.run_until(lambda: not fleet.outdated_hosts(fleet.live()), HEAL_LIMIT)
    fleet.run_until(fleet.agrees, HEAL_LIMIT)
    return fleet


@behave.when("an operator's edit is accepted")
def edit_document(context):
    fleet = context.document_fleet
    fleet.run(10 * SECOND)
    assert fleet.edit()
    context.calls_before = sum(fleet.store.call_count_by_method.values())


@behave.then("all hosts have the change within {seconds:d} seconds")
def check_in_force(context, seconds):
    fleet = context.document_fleet
    fleet.run_until(lambda: not fleet.outdated_hosts(fleet.live()), seconds * SECOND)


@behave.then("the store receives fewer than {limit:d} calls for it")
def check_store_calls(context, limit):
    fleet = context.document_fleet
    calls = sum(fleet.store.call_count_by_method.values()) - context.calls_before
    assert calls < limit, calls


@behave.when("the store goes down and a new host starts")
def start_without_store(context):
    fleet = context.document_fleet
    fleet.run_until(lambda: not fleet.outdated_hosts(fleet.live()), IN_FORCE_LIMIT)
    fake_documents.Faults(fleet).apply("store_down")
    context.new_host = fleet.add()


@behave.then("the new host has the change within {seconds:d} seconds")
def check_new_host(context, seconds):
    fleet = context.document_fleet
    fleet.run_until(
        lambda: not fleet.outdated_hosts([context.new_host]), seconds * SECOND
    )


@behave.when("one host is disconnected from the store and its peers")
def disconnect_host(context):
    fleet = context.document_fleet
    context.disconnected = sorted(fleet.live())[3]
    fleet.split([context.disconnected])
    fleet.disconnect_from_store(context.disconnected)


@behave.then("status reports undone and names that host until it is back")
def check_status(context):
    fleet = context.document_fleet
    asked = sorted(fleet.live() - {context.disconnected})[0]
    status = fleet_status.FleetStatus(
        fleet.feed_by_id[asked],
        fleet.node_by_id[asked].membership,
        fake_documents.fake_network.InlineExecutor(),
        fleet.clock,
        lambda: sorted(fleet.live()),
    )
    fleet.run(IN_FORCE_LIMIT)
    report = status.collect()
    assert (report.done, report.revision) == (False, 2), report
    assert report.unreachable == [context.disconnected], report
    fleet.heal()
    fleet.run_until(lambda: status.collect().done, HEAL_LIMIT)
    assert not fleet.outdated_hosts(fleet.live())


def run_with_faults(names, seed, **options):
    fleet = make_fleet(7, seed, **options)
    faults = fake_documents.Faults(fleet)
    for name in names:
        faults.apply(name)
    fleet.edit()
    fleet.run_until(
        lambda: not fleet.outdated_hosts(faults.connected_hosts()), IN_FORCE_LIMIT
    )
    fleet.run(IN_FORCE_LIMIT)
    fleet.heal()
    fleet.run_until(lambda: not fleet.outdated_hosts(fleet.live()), HEAL_LIMIT)
    assert fleet.edit()
    fleet.run_until(lambda: not fleet.outdated_hosts(fleet.live()), HEAL_LIMIT)
    fleet.run_until(fleet.agrees, 2 * HEAL_LIMIT)


def fault_combinations():
    names = fake_documents.FAULTS
    yield from ((name,) for name in names)
    yield from itertools.combinations_with_replacement(names, 2)


def find_failures(seed, combos, **options):
    failed = []
    for names in combos:
        try:
            run_with_faults(names, seed, **options)
        except AssertionError as error:
            failed.append((*names, str(error)))
    return failed


@behave.then(
    "with every fault and pair of faults each connected host has the change "
    "within 7 seconds"
)
def check_matrix(context):
    found = find_failures(context.seed, fault_combinations())
    assert not found, "\n".join(map(str, found))


@behave.then('with a polling feed the matrix fails for "{first}" and "{second}"')
def check_polling_feed(context, first, second):
    singles = [(name,) for name in fake_documents.FAULTS]
    found = find_failures(context.seed, singles, feed_type=fake_documents.PollingFeed)
    assert {first, second} <= {one[0] for one in found}, found


class InterleavingStore:
    """Store client that runs a callback before the write of its first transaction."""

    def __init__(self, service, before_write):
        self._service = service
        self._before_write = before_write

    def __getattr__(self, name):
        return getattr(self._service, name)

    def transact(self, compares, writes):
        before_write, self._before_write = self._before_write, lambda: None
        before_write()
        return self._service.transact(compares, writes)


SECTION_TEXTS = {
    "routes": "{0}: {{method: GET, path: /{0}, service: ticketing}}\n",
    "customers": "{0}: {{key_sha256: []}}\n",
}


def make_store(context):
    service = memory_store.MemoryStore(fake_documents.fake_network.VirtualClock())
    codec = yaml_codec.YamlCodec()
    documents.DocumentStore(service, codec).create(embedded.EXAMPLE_DOCUMENT)
    return service, codec


@behave.then(
    "edits of any sections in any interleaving are all applied or refused "
    "with both texts"
)
def check_races(context):
    section = strategies.sampled_from(sorted(SECTION_TEXTS))

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(strategies.lists(section, min_size=2, max_size=4))
    def edit_concurrently(names):
        service, codec = make_store(context)
        outcome_by_index = {}

        def edit(index):
            def edit_next():
                if index + 1 < len(names):
                    edit(index + 1)

            text = SECTION_TEXTS[names[index]].format(f"e{index}")
            interleaved_store = documents.DocumentStore(
                InterleavingStore(service, edit_next), codec
            )
            try:
                outcome_by_index[index] = interleaved_store.edit(names[index], text, "")
            except errors.DocumentError as error:
                assert error.code is errors.Code.SECTION_CONFLICT
                assert text in error.detail and "theirs" in error.detail
                outcome_by_index[index] = None

        edit(0)
        accepted = {
            names[index]: f"e{index}"
            for index, revision in outcome_by_index.items()
            if revision is not None
        }
        refused = [i for i, revision in outcome_by_index.items() if revision is None]
        stored = documents.DocumentStore(service, codec).load()
        for name, key in accepted.items():
            assert key in stored.text_by_section[name]
        assert len(accepted) + len(refused) == len(names)
        assert stored.head.revision == 1 + len(accepted)

    edit_concurrently()


@behave.then("an edit whose reply or request was lost is made exactly once")
def check_lost_replies(context):
    for fault in (faulty_store.Fault.REPLY_LOST, faulty_store.Fault.REQUEST_LOST):
        for count in (1, 3):
            service, codec = make_store(context)
            faulty = faulty_store.FaultyStore(service, service._clock)
            faulty.inject(
                faulty_store.FaultRule(
                    fault=fault, methods=frozenset({"txn"}), count=count
                )
            )
            document_store = documents.DocumentStore(faulty, codec)
            text = SECTION_TEXTS["routes"].format("lost")
            assert document_store.edit("routes", text, "") == 2
            assert document_store.load().head.revision == 2
            assert document_store.edit("routes", text, "") == 2


@behave.then("another key is refused with code 5005 and the owner's key is accepted")
def check_owners(context):
    service, codec = make_store(context)
    document_store = documents.DocumentStore(service, codec)
    owner = customers.hash_key("owner")
    document_store.edit("owners", f"routes: {owner}\n", "")
    text = SECTION_TEXTS["routes"].format("owned")
    try:
        document_store.edit("routes", text, customers.hash_key("other"))
    except errors.DocumentError as error:
        assert error.code == 5005
    else:
        raise AssertionError("another key was accepted")
    assert document_store.edit("routes", text, owner) == 3


@behave.then(
    "a changed line of a section of {size:d} bytes is sent in fewer than "
    "{max_bytes:d} bytes"
)
def check_difference(context, size, max_bytes):
    line = SECTION_TEXTS["routes"]
    lines = [line.format(f"n{index}") for index in range(size // len(line))]
    old = {"routes": "".join(lines)}
    lines[len(lines) // 2] = line.format("changed")
    new = {"routes": "".join(lines)}
    head = heads.Head.initial(old, "a")
    known = documents.Snapshot(head, old)
    newer = documents.Snapshot(head.with_edit("routes", new["routes"], "b"), new)
    digest = head.mark_by_section["routes"].digest
    request = document_messages.Fetch(1, {"routes": digest})
    for texts in ({digest: old["routes"]}, {}):
        reply = document_messages.answer_fetch(request, newer, texts)
        assert document_messages.apply_reply(known, reply) == newer
        if texts:
            assert len(msgspec.msgpack.encode(reply)) < max_bytes


@behave.then("any text is restored from its delta to any other text")
def check_deltas(context):
    text = strategies.text("ab\u00e9\n", max_size=12)

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(text, text)
    def restore(old, new):
        assert deltas.apply_delta(old, deltas.make_delta(old, new)) == new

    restore()
