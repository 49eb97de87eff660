/** The engines of a play: what is ordered starts, waves take a zone's reclaimable ones, and each second is paid for. */
import {type BackendOrder} from '@shallotpass/core/duties/lease.js';
import {type ZoneFleet} from '@shallotpass/core/engines/plan-backends.js';
import {type ManualClock} from '../routing/manual-clock.js';
import {type Customer} from './customer.js';
import {startVirtualEngine, type VirtualEngine} from './virtual-engine.js';

/** A stopped engine still serves what it has for so long, in milliseconds. */
const drainMs = 4000;

/** After a refusal a zone is asked again after this time, in milliseconds. */
const refusalMs = 3500;

export type VirtualFleet = {
	/** Engines that take calls. */
	readonly listReady: () => readonly VirtualEngine[];
	readonly listZones: () => ZoneFleet[];
	readonly order: (orders: readonly BackendOrder[]) => void;
	/** Price of all engines until now, in prices of a second at the full price. */
	readonly sumPrice: () => number;
	readonly countEngines: () => number;
	/** Tokens that engines read, and those that were sent to them. */
	readonly sumTokens: () => {readonly read: number; readonly sent: number};
};

type Life = {
	readonly engine: VirtualEngine;
	readonly price: number;
	readonly startedAt: number;
	readyAt: number;
	endsAt: number;
};

export const startVirtualFleet = (customer: Customer, clock: ManualClock): VirtualFleet => {
	const {engine: traits, waves, zones} = customer;
	const lives: Life[] = [];
	const dryUntil = {at: 0};
	const refusedUntil = new Map<string, number>();

	const start = (zone: string, isReclaimable: boolean, bootMs: number): void => {
		const number = lives.length;
		const engine = startVirtualEngine({
			id: `engine-${number}`, zone, isReclaimable, slowness: traits.slowness[number % traits.slowness.length]!, engine: traits, clock,
		});
		const zonePrice = zones.find(({name}) => name === zone)?.price ?? 1;
		lives.push({
			engine, price: isReclaimable ? zonePrice * traits.reclaimablePrice : zonePrice, startedAt: clock.now(), readyAt: clock.now() + bootMs, endsAt: Infinity,
		});
	};

	const leave = (life: Life, noticeMs: number): void => {
		life.engine.isLeaving = true;
		const endsAt = clock.now() + noticeMs;
		life.endsAt = Math.min(life.endsAt, endsAt);
		clock.schedule(endsAt, () => {
			life.engine.end();
		});
	};

	const listStanding = (zone: string, isReclaimable: boolean): Life[] => lives
		.filter(({engine}) => engine.zone === zone && engine.isReclaimable === isReclaimable && !engine.isLeaving);

	const isReady = ({readyAt}: Life): boolean => clock.now() >= readyAt;

	for (const {name} of zones) {
		for (let index = 0; index < traits.first; index++) {
			start(name, false, 0);
		}
	}

	for (const [index, at] of waves.at.entries()) {
		clock.schedule(at, () => {
			dryUntil.at = clock.now() + waves.dryMs;
			for (const life of listStanding(zones[index % zones.length]!.name, true)) {
				leave(life, waves.noticeMs);
			}
		});
	}

	const fill = ({availabilityZone, isReclaimable, count}: BackendOrder): void => {
		const standing = listStanding(availabilityZone, isReclaimable);
		const missing = count - standing.length;
		if (missing > 0 && isReclaimable && clock.now() < dryUntil.at) {
			refusedUntil.set(availabilityZone, clock.now() + refusalMs);
			return;
		}

		for (let left = missing; left > 0; left--) {
			start(availabilityZone, isReclaimable, traits.bootMs);
		}

		for (const life of standing.slice(count)) {
			leave(life, drainMs);
		}
	};

	return {
		listReady: () => lives.filter(life => !life.engine.isLeaving && isReady(life)).map(({engine}) => engine),
		listZones: () => zones.map(({name}) => {
			const reclaimable = listStanding(name, true);
			const running = reclaimable.filter(life => isReady(life)).length;
			return {
				availabilityZone: name,
				onDemand: listStanding(name, false).filter(life => isReady(life)).length,
				reclaimable: running,
				starting: reclaimable.length - running,
				refusedUntil: refusedUntil.get(name) ?? 0,
			};
		}),
		order(orders) {
			for (const order of orders) {
				fill(order);
			}
		},
		sumPrice: () => lives.reduce((sum, {price, startedAt, endsAt}) => sum + (price * Math.max(0, Math.min(endsAt, clock.now()) - startedAt) / 1000), 0),
		countEngines: () => lives.length,
		sumTokens() {
			let read = 0;
			let sent = 0;
			for (const {engine} of lives) {
				read += engine.core.counts.recomputedTokens;
				sent += engine.core.counts.promptTokens;
			}

			return {read, sent};
		},
	};
};
