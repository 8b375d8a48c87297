"""Steps for revisions and leases that are given out a second time."""

import datetime

import behave
import era_pair

from peridothitch import errors
from peridothitch.adapters import boot_clock, wsgi_server
from peridothitch.coordination import lease
from peridothitch.platform import store as platform_store
from peridothitch.ports import store as stores
from peridothitch.standins import metadata_store

_KEY = "/peridothitch/leases/x"
_TTL = datetime.timedelta(seconds=20)
_TERMS = lease.LeaseTerms(name="duties", ttl=_TTL, orders_are_fenced=True)


def _make_client(context):
    address = f"127.0.0.1:{context.server.port}"
    client = platform_store.PlatformStore(address, boot_clock.BootClock())
    context.add_cleanup(client.close)
    return client


def _write(client, value, compares=()):
    return client.transact(compares, [stores.Put(_KEY, value)])


@behave.given("a client of the platform's store")
def start(context):
    context.store = metadata_store.MetadataStore(boot_clock.BootClock())
    context.service = metadata_store.MetadataStoreService(context.store)
    context.server = wsgi_server.WsgiServer(context.service, "127.0.0.1:0", threads=8)
    context.server.start()
    context.add_cleanup(context.server.close)
    context.add_cleanup(context.store.close)
    context.client, context.other = _make_client(context), _make_client(context)


@behave.given("a key that was written after a copy was taken")
def write_after_copy(context):
    context.copy = context.store.copy()
    context.revision = _write(context.client, b"first").revision


def _restore_and_write(context):
    context.store.restore(context.copy)
    written = _write(context.other, b"other")
    assert stores.number_of(written.revision) == stores.number_of(context.revision)


@behave.when("the store comes back from the copy and another host writes as often")
def restore_and_write(context):
    _restore_and_write(context)
    context.client.range("op/")


@behave.when(
    "the store comes back from the copy and another host writes as often unnoticed"
)
def restore_and_write_unnoticed(context):
    _restore_and_write(context)


def _write_under_condition(context):
    condition = stores.Compare(_KEY, stores.Target.MOD, context.revision)
    return _write(context.client, b"second", [condition])


@behave.then("a write under the condition of the old revision fails")
def check_condition(context):
    assert not _write_under_condition(context).succeeded


@behave.then("the key has the content of the other host")
def check_content(context):
    assert context.store.read(_KEY) == b"other"


@behave.then("a write under the condition of the old revision is told as unclear")
def check_unclear(context):
    try:
        result = _write_under_condition(context)
    except errors.StoreUnclearError:
        return
    raise AssertionError(result)


@behave.given("a lease that was granted after a copy was taken")
def grant_after_copy(context):
    context.client.range("op/")
    context.copy = context.store.copy()
    context.lease_id = context.client.grant_lease(_TTL)


@behave.when(
    "the store comes back from the copy and grants the same lease to another host"
)
def grant_again(context):
    context.store.restore(context.copy)
    assert context.other.grant_lease(_TTL) == context.lease_id
    context.other.transact([], [stores.Put(_KEY, b"other", context.lease_id)])


@behave.then("the lease counts as ended for its former holder")
def check_ended(context):
    for _ in range(2):
        remaining = context.client.keep_alive(context.lease_id)
        assert remaining == datetime.timedelta(0), remaining


@behave.then("giving it back leaves the other host's key in place")
def check_kept(context):
    context.client.revoke_lease(context.lease_id)
    assert context.store.read(_KEY) == b"other"


class _RestoringStore:
    """Client whose store comes back from a copy made as a write went unanswered."""

    def __init__(self, context):
        self._context = context

    def __getattr__(self, name):
        return getattr(self._context.client, name)

    def transact(self, compares, writes):
        result = self._context.client.transact(compares, writes)
        store_copy = self._context.store.copy()
        self._context.first_number = result.revision
        _write(self._context.other, b"lost")
        self._context.store.restore(store_copy)
        raise errors.StoreUnclearError("no answer")


@behave.given("a lock that is taken without an answer before a copy is taken")
def prepare_lock(context):
    context.lease = lease.FencedLease(
        _RestoringStore(context), _TERMS, "edge-1", boot_clock.BootClock()
    )


@behave.when("the store comes back from the copy while the holder reads its nonce back")
def take_lock(context):
    assert context.lease.step()


@behave.then("the holder has a fencing number above all of the era before")
def check_number(context):
    first = context.first_number
    assert context.lease.fencing_number > first, first
    assert stores.era_of(context.lease.fencing_number) == 2


@behave.then("fencing numbers grow over three eras in which the store counts alike")
def check_numbers_grow(context):
    store_copy = context.store.copy()
    numbers = []
    for count in range(3):
        client = _make_client(context)
        held = lease.FencedLease(
            client, _TERMS, f"edge-{count}", boot_clock.BootClock()
        )
        assert held.step()
        numbers.append(held.fencing_number)
        context.store.restore(store_copy)
    assert numbers == sorted(set(numbers)), numbers
    assert len({stores.number_of(number) for number in numbers}) == 1, numbers


@behave.given("a watch that has seen a change after a copy was taken")
def watch(context):
    context.copy = context.store.copy()
    found = context.client.range(_KEY)
    context.watch = context.client.watch(_KEY, found.revision + 1)
    context.revision = _write(context.other, b"first").revision
    assert context.watch.poll(datetime.timedelta(seconds=1))


@behave.then("the watch ends, since its history is gone")
def check_watch(context):
    for _ in range(2):
        try:
            events = context.watch.poll(datetime.timedelta(0))
        except errors.StoreHistoryGoneError:
            continue
        raise AssertionError(events)


@behave.when('the store is read in era 2 and then answers with the era "{text}"')
def answer_with(context, text):
    context.store.restore(context.store.copy())
    context.before = context.client.range("op/")
    assert stores.era_of(context.before.revision) == 2
    context.service.faults.era_text = text


@behave.when('the store is read in era 2 and then answers with the era ""')
def answer_without(context):
    answer_with(context, "")


@behave.then("what it answers counts as of era 2")
def check_era(context):
    revision = _write(context.client, b"next").revision
    assert stores.era_of(revision) == 2, revision
    found = context.client.range("/")
    assert found.revision == revision, found


@behave.then("a read fails as unavailable and a write as unclear")
def check_past_era(context):
    for call, expected in (
        (lambda: context.client.range("op/"), errors.StoreUnavailableError),
        (lambda: _write(context.client, b"next"), errors.StoreUnclearError),
    ):
        try:
            result = call()
        except expected:
            continue
        raise AssertionError(result)


@behave.when("the store answers without an era")
def answer_without_from_start(context):
    context.service.faults.era_text = ""


@behave.then("revisions are those that the store gave")
def check_plain(context):
    assert _write(context.client, b"next").revision == context.store.revision


@behave.given(
    "a host with rules of {count:d} routes that the copy lacks, at revision 85"
)
def start_first_host(context, count):
    context.pair = era_pair.EraPair()
    context.rules = era_pair.rules(7, count)
    context.pair.read("edge-1", 1, 100, context.rules, 90)
    context.pair.read("edge-1", 2, 85, era_pair.rules(5, 3), 60)


@behave.given("a host that has read the copy only, at revision {revision:d}")
def start_second_host(context, revision):
    context.pair.read("edge-2", 2, revision, era_pair.rules(5, 3), 60)


@behave.when("the second host asks the first one and then the first the second")
def exchange(context):
    for host_id in ("edge-2", "edge-1"):
        context.pair.sync_by_id[host_id].sync_once()


@behave.then("both hosts have the rules that the copy lacks")
def check_rules(context):
    for host_id in ("edge-1", "edge-2"):
        assert context.pair.value(host_id) == context.rules, host_id
