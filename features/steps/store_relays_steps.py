"""Steps for hosts that follow the store on behalf of others."""

import behave
import relay_fleet


@behave.given("{hosts:d} hosts in {data_centres:d} data centres")
def start_fleet(context, hosts, data_centres):
    context.fleet = relay_fleet.RelayFleet(hosts, data_centres)


@behave.when("{seconds:d} seconds pass for them")
def let_pass(context, seconds):
    context.fleet.run(seconds)


@behave.then("{count:d} hosts follow the store")
def check_followers(context, count):
    followers = context.fleet.followers()
    assert len(followers) == count, followers


@behave.then("at most {count:d} hosts follow the store")
def check_most_followers(context, count):
    followers = context.fleet.followers()
    assert len(followers) <= count, followers


@behave.when("the store changes and {seconds:d} seconds pass")
def change(context, seconds):
    context.fleet.revision += 1
    context.fleet.run(seconds)


@behave.then("all hosts have the change")
def check_informed(context):
    up_to_date_count = context.fleet.up_to_date_count()
    assert up_to_date_count == len(context.fleet.member_by_id), up_to_date_count


@behave.when("the store rejects its followers")
def reject_followers(context):
    context.fleet.rejected_host_ids = context.fleet.followers()


@behave.when("the store rejects all hosts and {seconds:d} seconds pass")
def reject_all(context, seconds):
    context.fleet.rejected_host_ids = set(context.fleet.member_by_id)
    context.fleet.run(seconds)


@behave.when("the store serves all hosts and {seconds:d} seconds pass")
def serve_all(context, seconds):
    context.fleet.rejected_host_ids = set()
    context.fleet.run(seconds)
