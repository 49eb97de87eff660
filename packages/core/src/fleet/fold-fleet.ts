/**
 * The fleet stream: who has the duty of a zone, and what was ordered. A record of a
 * holder whose lease another has taken over changes nothing, for every reader alike:
 * a holder that was paused past its lease sees from the log that its orders did not
 * count, and carries none of them out.
 */
import {fleetRecordSchema, type FleetRecord} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import {type FleetLease, type FleetState} from './types.js';

/** A lease may not reach further than this past the log's own time, or a holder with a wrong clock would keep the duty for good. */
export const longestLeaseMs = 60_000;

/** Closed orders are remembered for so many, so that a late instance of one is known and ended. */
const mostClosedOrders = 1000;

export const makeFleetState = (): FleetState => ({
	leases: new Map(), orders: new Map(), refusals: new Map(), next: 0 as LogOffset,
});

const isFree = (lease: FleetLease | undefined, at: number): boolean => lease === undefined || lease.until <= at;

const foldLease = (state: FleetState, record: Extract<FleetRecord, {kind: 'lease'}>, {offset, appendedAt}: LogRecord): FleetState => {
	const current = state.leases.get(record.availabilityZone);
	const isRenewal = current?.holder === record.holder && current.fencing === record.fencing;
	if (!isRenewal && !isFree(current, appendedAt)) {
		return state;
	}

	const until = Math.min(record.until, appendedAt + longestLeaseMs);
	return {
		...state,
		leases: new Map(state.leases).set(record.availabilityZone, {
			holder: record.holder, until, fencing: isRenewal ? current.fencing : offset,
		}),
	};
};

const forgetClosed = (orders: FleetState['orders']): FleetState['orders'] => {
	const closed = [...orders.values()].filter(order => order.isClosed);
	if (closed.length <= mostClosedOrders) {
		return orders;
	}

	const next = new Map(orders);
	for (const {token} of closed.slice(0, closed.length - mostClosedOrders)) {
		next.delete(token);
	}

	return next;
};

const foldRecord = (state: FleetState, record: FleetRecord, entry: LogRecord): FleetState => {
	if (record.kind === 'lease') {
		return foldLease(state, record, entry);
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
		const known = orders.get(token);
		if (known?.availabilityZone === record.availabilityZone) {
			orders.delete(token);
			orders.set(token, {...known, isClosed: true});
		}
	}

	const refusals = new Map(state.refusals);
	for (const refusal of record.refusals) {
		refusals.set(refusal.offer, refusal);
	}

	return {...state, orders: forgetClosed(orders), refusals};
};

export const foldFleetRecord = (state: FleetState, entry: LogRecord): FleetState => {
	if (entry.offset < state.next) {
		return state;
	}

	const parsed = fleetRecordSchema.safeParse(entry.record);
	const next = parsed.success ? foldRecord(state, parsed.data, entry) : state;
	return {...next, next: (entry.offset + 1) as LogOffset};
};

/** Whether the duty may be taken: nobody has it, or the holder's time is up. */
export const isLeaseFree = (state: FleetState, availabilityZone: string, now: number): boolean =>
	isFree(state.leases.get(availabilityZone), now);
