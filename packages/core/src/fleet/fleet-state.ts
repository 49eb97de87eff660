/**
 * State of the fleet stream: which daemon holds the lease of a zone's fleet, and which instances were ordered.
 * Every reader ignores records of a holder whose lease was taken over. A holder that was paused past the end of
 * its lease learns from the log that its orders were ignored, and executes none of them.
 */
import {fleetRecordSchema, type FleetRecord} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import {type FleetLease, type FleetState} from './types.js';

/** Maximum duration of a lease, counted from the log's time of the record. Without this limit a holder whose clock is ahead could keep the lease forever. */
export const maxLeaseMs = 60_000;

/** Number of closed orders that are kept, so that an instance that appears late is recognized and ended. */
const maxClosedOrders = 1000;

export const makeFleetState = (): FleetState => ({
	leases: new Map(), orders: new Map(), refusals: new Map(), next: 0 as LogOffset,
});

const isUnheld = (lease: FleetLease | undefined, at: number): boolean => lease === undefined || lease.until <= at;

const applyLease = (state: FleetState, record: Extract<FleetRecord, {kind: 'lease'}>, {offset, appendedAt}: LogRecord): FleetState => {
	const current = state.leases.get(record.availabilityZone);
	const isRenewal = current?.holder === record.holder && current.fencing === record.fencing;
	if (!isRenewal && !isUnheld(current, appendedAt)) {
		return state;
	}

	const until = Math.min(record.until, appendedAt + maxLeaseMs);
	return {
		...state,
		leases: new Map(state.leases).set(record.availabilityZone, {
			holder: record.holder, until, fencing: isRenewal ? current.fencing : offset,
		}),
	};
};

const dropOldestClosedOrders = (orders: FleetState['orders']): FleetState['orders'] => {
	const closed = [...orders.values()].filter(order => order.isClosed);
	if (closed.length <= maxClosedOrders) {
		return orders;
	}

	const next = new Map(orders);
	for (const {token} of closed.slice(0, closed.length - maxClosedOrders)) {
		next.delete(token);
	}

	return next;
};

const applyRecord = (state: FleetState, record: FleetRecord, entry: LogRecord): FleetState => {
	if (record.kind === 'lease') {
		return applyLease(state, record, entry);
	}

	if (state.leases.get(record.availabilityZone)?.fencing !== record.fencing) {
		return state;
	}

	const orders = new Map(state.orders);
	for (const order of record.orders) {
		if (!orders.has(order.token)) {
			orders.set(order.token, {
				...order, availabilityZone: record.availabilityZone, orderedAt: entry.appendedAt, isClosed: false,
			});
		}
	}

	for (const token of record.closed) {
		const ordered = orders.get(token);
		if (ordered?.availabilityZone === record.availabilityZone) {
			orders.delete(token);
			orders.set(token, {...ordered, isClosed: true});
		}
	}

	const refusals = new Map(state.refusals);
	for (const refusal of record.refusals) {
		refusals.set(refusal.offer, refusal);
	}

	return {...state, orders: dropOldestClosedOrders(orders), refusals};
};

/** Applies the next record of the stream. A record that was applied before changes nothing. */
export const applyFleetRecord = (state: FleetState, entry: LogRecord): FleetState => {
	if (entry.offset < state.next) {
		return state;
	}

	const parsed = fleetRecordSchema.safeParse(entry.record);
	const next = parsed.success ? applyRecord(state, parsed.data, entry) : state;
	return {...next, next: (entry.offset + 1) as LogOffset};
};

/** Whether the zone's lease can be taken: it has no holder, or it has expired. */
export const isLeaseFree = (state: FleetState, availabilityZone: string, now: number): boolean =>
	isUnheld(state.leases.get(availabilityZone), now);
