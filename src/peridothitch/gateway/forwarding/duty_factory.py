"""Creates the duties that one entry host carries out for all."""

import dataclasses

from peridothitch.gateway.forwarding import (
    capacity_duty,
    fleet_record,
    move_duty,
    usage_duty,
)

__all__ = ["DutyDependencies", "make_duties"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DutyDependencies:
    """Services that the duties use.

    Attributes
    ----------
    settings : peridothitch.ports.entry_settings.EntryHostSettings
    store : peridothitch.ports.store.Store
    client : peridothitch.ports.duties.PlatformDuties or None
    fenced_lease : peridothitch.coordination.lease.FencedLease
    leases : peridothitch.coordination.mirror.Mirror
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    move_records : peridothitch.gateway.forwarding.move_records.MoveRecords
    version_moves : peridothitch.gateway.forwarding.version_moves.VersionMoves
    limits : peridothitch.gateway.forwarding.upstream_limits.UpstreamLimits
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels
    shared_clock : peridothitch.gateway.forwarding.peer_sync.SharedClock
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    settings: object
    store: object
    client: object
    fenced_lease: object
    leases: object
    reports: object
    final_counts: object
    catalogue: object
    move_records: object
    version_moves: object
    limits: object
    models: object
    shared_clock: object
    clock: object
    metrics: object


def make_duties(deps):
    """Return the duties that the settings enable, in the order in which they run."""
    settings, client = deps.settings, deps.client
    duties = [
        fleet_record.FleetRecordDuty(
            deps.store, deps.leases, deps.reports, deps.catalogue, deps.clock
        ),
        move_duty.MoveDuty(
            deps.catalogue,
            deps.move_records,
            deps.version_moves,
            settings.bounds.exposed_share,
            deps.shared_clock,
            settings.host_id,
        ),
    ]
    if client is not None and settings.reports_usage:
        duties.append(
            usage_duty.UsageDuty(
                client,
                deps.store,
                deps.fenced_lease,
                deps.reports,
                deps.final_counts,
                deps.shared_clock,
                settings.bounds,
                deps.clock,
                deps.metrics,
            )
        )
    if client is not None and settings.orders_capacity:
        duties.append(
            capacity_duty.CapacityDuty(
                client,
                deps.fenced_lease,
                deps.reports,
                deps.catalogue,
                deps.leases,
                deps.version_moves,
                settings,
                deps.clock,
                deps.metrics,
                deps.limits.is_limited,
                lambda: deps.catalogue.evacuations.data_centres,
                deps.models,
            )
        )
    return duties
