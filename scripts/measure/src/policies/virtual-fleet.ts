/** Simulated engines of a customer: starts and ends them as ordered, reclaims those of a zone in each wave, and sums up their price. */
import {type BackendOrder} from '@shallotpass/core/lease/lease.js';
import {type ZoneFleet} from '@shallotpass/core/engines/plan-backends.js';
import {type ManualClock} from '../routing/manual-clock.js';
import {type Customer} from './customer.js';
import {startVirtualEngine, type VirtualEngine} from './virtual-engine.js';

/** Time in which an engine that is no longer ordered may complete its running calls, in milliseconds. */
const drainMs = 4000;

/** Time for which a zone is reported as refusing reclaimable engines after a refusal, in milliseconds. */
const refusalBackoffMs = 3500;

export type VirtualFleet = {
	/** Returns the engines that accept calls. */
	readonly listReady: () => readonly VirtualEngine[];
	readonly listZones: () => ZoneFleet[];
	/** Starts and ends engines to match the orders. After a wave, orders for more reclaimable engines are refused. */
	readonly applyOrders: (orders: readonly BackendOrder[]) => void;
	/** Returns the total price of all engines until now. */
	readonly sumPrice: () => number;
	/** Counts all engines that were ever started. */
	readonly countEngines: () => number;
	/** Returns the prompt tokens that engines processed, and those that were sent to them. */
	readonly sumTokens: () => {readonly computed: number; readonly sent: number};
};

type EngineRecord = {
	readonly engine: VirtualEngine;
	/** Price per second. */
	readonly price: number;
	readonly startedAt: number;
	readyAt: number;
	endsAt: number;
};

export const startVirtualFleet = (customer: Customer, clock: ManualClock): VirtualFleet => {
	const {engine: engineOptions, waves, zones} = customer;
	const records: EngineRecord[] = [];
	const unavailableUntil = {at: 0};
	const refusedUntil = new Map<string, number>();

	const startEngine = (zone: string, isReclaimable: boolean, bootMs: number): void => {
		const engineIndex = records.length;
		const engine = startVirtualEngine({
			id: `engine-${engineIndex}`, zone, isReclaimable, slowness: engineOptions.slowness[engineIndex % engineOptions.slowness.length]!, engine: engineOptions, clock,
		});
		const zonePrice = zones.find(({name}) => name === zone)?.price ?? 1;
		records.push({
			engine, price: isReclaimable ? zonePrice * engineOptions.reclaimablePrice : zonePrice, startedAt: clock.now(), readyAt: clock.now() + bootMs, endsAt: Infinity,
		});
	};

	const scheduleEnd = (record: EngineRecord, noticeMs: number): void => {
		record.engine.isLeaving = true;
		const endsAt = clock.now() + noticeMs;
		record.endsAt = Math.min(record.endsAt, endsAt);
		clock.schedule(endsAt, () => {
			record.engine.end();
		});
	};

	const listActive = (zone: string, isReclaimable: boolean): EngineRecord[] => records
		.filter(({engine}) => engine.zone === zone && engine.isReclaimable === isReclaimable && !engine.isLeaving);

	const isReady = ({readyAt}: EngineRecord): boolean => clock.now() >= readyAt;

	for (const {name} of zones) {
		for (let index = 0; index < engineOptions.first; index++) {
			startEngine(name, false, 0);
		}
	}

	for (const [index, at] of waves.at.entries()) {
		clock.schedule(at, () => {
			unavailableUntil.at = clock.now() + waves.dryMs;
			for (const record of listActive(zones[index % zones.length]!.name, true)) {
				scheduleEnd(record, waves.noticeMs);
			}
		});
	}

	const applyOrder = ({availabilityZone, isReclaimable, count}: BackendOrder): void => {
		const active = listActive(availabilityZone, isReclaimable);
		const missingCount = count - active.length;
		if (missingCount > 0 && isReclaimable && clock.now() < unavailableUntil.at) {
			refusedUntil.set(availabilityZone, clock.now() + refusalBackoffMs);
			return;
		}

		for (let remaining = missingCount; remaining > 0; remaining--) {
			startEngine(availabilityZone, isReclaimable, engineOptions.bootMs);
		}

		for (const record of active.slice(count)) {
			scheduleEnd(record, drainMs);
		}
	};

	return {
		listReady: () => records.filter(record => !record.engine.isLeaving && isReady(record)).map(({engine}) => engine),
		listZones: () => zones.map(({name}) => {
			const reclaimable = listActive(name, true);
			const running = reclaimable.filter(record => isReady(record)).length;
			return {
				availabilityZone: name,
				onDemand: listActive(name, false).filter(record => isReady(record)).length,
				reclaimable: running,
				starting: reclaimable.length - running,
				refusedUntil: refusedUntil.get(name) ?? 0,
			};
		}),
		applyOrders(orders) {
			for (const order of orders) {
				applyOrder(order);
			}
		},
		sumPrice: () => records.reduce((sum, {price, startedAt, endsAt}) => sum + (price * Math.max(0, Math.min(endsAt, clock.now()) - startedAt) / 1000), 0),
		countEngines: () => records.length,
		sumTokens() {
			let computed = 0;
			let sent = 0;
			for (const {engine} of records) {
				computed += engine.core.counts.recomputedTokens;
				sent += engine.core.counts.promptTokens;
			}

			return {computed, sent};
		},
	};
};
