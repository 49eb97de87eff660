/** Works out the orders of backend servers from the directory and the load. */
import {type BackendOrder} from '@shallotpass/core/duties/fold-lease.js';
import {
	learnNeed, type Need, roundNeed,
} from '@shallotpass/core/engines/need-engines.js';
import {planEngines, type PlanInput, type ZoneFleet} from '@shallotpass/core/engines/plan-engines.js';
import {firstPace} from '@shallotpass/core/placement/engine-pace.js';
import {readWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {getBackendPace} from '../calls/backend-registry.js';
import {type GatewayState, peerSilentMs} from '../gateway-state.js';

/** After a refusal reclaimable backend servers of a zone are asked for again after this time, in milliseconds: the cloud says no for 12 to 15 s after a wave. */
const refusalMs = 3500;

/** Time beyond the start of a backend server after which an accepted order counts as not fulfilled, in milliseconds. */
const startMarginMs = 2500;

/** Backend servers write every 1.2 s; after three times that the list is whole. */
const settleMs = 4000;

export type OrderPlan = {
	readonly planOrders: () => BackendOrder[];
	readonly noteAccepted: (order: BackendOrder) => void;
	readonly noteRefusal: (order: BackendOrder) => void;
	readonly isFulfilled: (order: BackendOrder) => boolean;
};

type Accepted = {
	readonly count: number;
	/** On the steady clock. */
	readonly startedBy: number;
};

export const openOrderPlan = (gateway: GatewayState): OrderPlan => {
	/** `service/zone` → until when none are believed to be had. */
	const refusedUntil = new Map<string, number>();
	/** `service/zone` → the order of reclaimable ones that was accepted last. */
	const accepted = new Map<string, Accepted>();
	const needs = new Map<string, Need>();
	const planned = new Map<string, number>();
	const now = (): number => gateway.clocks.steady();

	/** Backend servers that started together write their entries one after the other; an order by the first few of them would end the others. */
	const isSettled = (): boolean => gateway.directorySince !== undefined && now() >= gateway.directorySince + settleMs;

	const countReady = (service: string, zone: string, isReclaimable: boolean): number => (gateway.registry.byService.get(service) ?? [])
		.filter(({entry}) => entry.availabilityZone === zone && entry.isReclaimable === isReclaimable).length;

	const countStarting = (service: string, zone: string, ready: number): number => {
		const order = accepted.get(`${service}/${zone}`);
		return order === undefined || now() > order.startedBy ? 0 : Math.max(0, order.count - ready);
	};

	const listZones = (service: string): ZoneFleet[] => gateway.settings.instance.zones.map(availabilityZone => {
		const reclaimable = countReady(service, availabilityZone, true);
		return {
			availabilityZone,
			full: countReady(service, availabilityZone, false),
			reclaimable,
			starting: countStarting(service, availabilityZone, reclaimable),
			refusedUntil: refusedUntil.get(`${service}/${availabilityZone}`) ?? 0,
		};
	});

	/** Prompt tokens that a ready backend server reads a millisecond, in the mean. */
	const readMeanPace = (service: string): number => {
		const ready = gateway.registry.byService.get(service) ?? [];
		const total = ready.reduce((sum, state) => sum + getBackendPace(gateway.registry, state, now()).tokensPerMs, 0);
		return ready.length === 0 ? (gateway.registry.paces.get(service) ?? firstPace).tokensPerMs : total / ready.length;
	};

	const countRunning = (service: string): number => (gateway.registry.byService.get(service) ?? [])
		.reduce((sum, state) => sum + state.running + state.othersRunning, 0);

	const readNeed = (service: string): Pick<PlanInput, 'needed' | 'assumed'> => {
		const since = now() - peerSilentMs;
		const own = gateway.workRates.get(service);
		const heard = [...gateway.peers.values()].filter(peer => peer.heardAt >= since).map(peer => peer.work[service] ?? 0);
		const perSecond = heard.reduce((total, rate) => total + rate, own === undefined ? 0 : readWorkRate(own, now()));
		const known = gateway.configuration?.servicesByName.get(service);
		const need = learnNeed(needs.get(service), {
			promptTokensPerSecond: perSecond,
			running: countRunning(service),
			present: gateway.registry.byService.get(service)?.length ?? 0,
			tokensPerMs: readMeanPace(service),
			places: known?.engine?.places ?? Infinity,
			bootMs: known?.fleet?.bootMs ?? 0,
		}, now());
		needs.set(service, need);
		const needed = roundNeed(need.engines, planned.get(service) ?? 0);
		planned.set(service, needed);
		return {needed, assumed: Math.ceil(need.assumed)};
	};

	return {
		planOrders() {
			if (!isSettled()) {
				return [];
			}

			const services = gateway.configuration?.configuration.services ?? [];
			return services.flatMap(({name, fleet}) => fleet === undefined
				? []
				: planEngines({
					service: name, bounds: fleet, zones: listZones(name), ...readNeed(name), now: now(),
				}));
		},
		noteAccepted(order) {
			if (order.isReclaimable) {
				const bootMs = gateway.configuration?.servicesByName.get(order.service)?.fleet?.bootMs ?? 0;
				accepted.set(`${order.service}/${order.availabilityZone}`, {count: order.count, startedBy: now() + bootMs + startMarginMs});
			}
		},
		noteRefusal(order) {
			if (order.isReclaimable) {
				refusedUntil.set(`${order.service}/${order.availabilityZone}`, now() + refusalMs);
			}
		},
		isFulfilled: order => countReady(order.service, order.availabilityZone, order.isReclaimable) >= order.count,
	};
};
